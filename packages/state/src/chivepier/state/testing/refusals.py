"""Which writes the disk of a process refuses."""

import json
import pathlib
import time

from chivepier.state.testing.refusingdisk import RefusingDisk

LOOK_SECONDS = 0.01


class Refusals:
    """Tells a running process by a file which writes its disk refuses.

    :param path: the file; there while writes are refused
    """

    def __init__(self, path: pathlib.Path):
        self._path = path

    def refuse(self, error: int, accepted: int, torn: bool) -> None:
        """Let the disk refuse; see :meth:`RefusingDisk.refuse`."""
        order = {"error": error, "accepted": accepted, "torn": torn}
        fresh = self._path.with_suffix(".new")
        fresh.write_text(json.dumps(order))
        fresh.replace(self._path)

    def accept(self) -> None:
        """Let all writes pass again."""
        self._path.unlink(missing_ok=True)

    def follow(self, disk: RefusingDisk) -> None:
        """Let a disk of this process do as the file says, without an end.

        :param disk: the disk
        """
        refuses = False
        while True:
            if self._path.exists() != refuses:
                refuses = not refuses
                if refuses:
                    disk.refuse(**json.loads(self._path.read_text()))
                else:
                    disk.accept()
            time.sleep(LOOK_SECONDS)
