"""What a process writes, taken to its log by another one."""

import pathlib
import threading
import typing


class ChildLog(threading.Thread):
    """Appends the lines of a child to a file until it has ended.

    A process whose files may not grow could else not write its log either.

    :param stream: the reading end of the child's pipe; closed at its end
    :param path: the log, to which others append, too
    """

    def __init__(self, stream: typing.BinaryIO, path: pathlib.Path):
        super().__init__(daemon=True)
        self._stream = stream
        self._path = path

    def run(self) -> None:
        """Take line by line."""
        with self._stream, open(self._path, "ab", buffering=0) as log:
            for line in self._stream:
                log.write(line)
