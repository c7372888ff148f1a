"""One process per data folder."""

import fcntl
import pathlib

LOCK_FILE = "lock"


class FolderLock:
    """Holds a data folder for as long as the context lasts.

    Two processes on one folder would mix their records in one log and vote
    twice under one identity.  The system releases the lock when its process
    dies, however it dies.

    :param folder: the data folder; made when it is not there
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._stream = None

    def __enter__(self) -> "FolderLock":
        self._folder.mkdir(parents=True, exist_ok=True)
        self._stream = open(self._folder / LOCK_FILE, "ab")
        try:
            fcntl.flock(self._stream, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._stream.close()
            text = f"{self._folder} is in use by another process"
            raise BlockingIOError(text) from None
        return self

    def __exit__(self, *exc) -> None:
        self._stream.close()
