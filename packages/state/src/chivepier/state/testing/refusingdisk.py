"""A disk that refuses writes below one folder."""

import builtins
import collections.abc
import errno
import os
import pathlib
import stat


class RefusingDisk:
    """Counts the calls that write below a folder, and refuses some of them.

    What was not synced when a sync was refused is lost to later syncs of the
    same file: the system may take its pages for written.  Those syncs pass
    without reaching the disk.  Enter the context of a
    :class:`PoweredFolder` before this one: it notes what does reach it.

    :param path: the folder
    :ivar calls: the calls so far, by name
    """

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._error: int | None = None
        self._accepted = 0
        self._torn = False
        self._lost: set[tuple[int, int]] = set()
        self._originals: dict[str, collections.abc.Callable] = {}
        self.calls: list[str] = []

    def refuse(
        self,
        error: int = errno.ENOSPC,
        accepted: int = 0,
        torn: bool = False,
    ) -> None:
        """Refuse calls from now on.

        :param error: number of the error
        :param accepted: so many calls still pass
        :param torn: whether the first refused write takes half of its bytes
        """
        self._error, self._accepted, self._torn = error, accepted, torn

    def accept(self) -> None:
        """Let all calls pass again."""
        self._error = None

    @property
    def refuses(self) -> bool:
        """Whether the next call is refused."""
        return self._error is not None and self._accepted == 0

    def __enter__(self) -> "RefusingDisk":
        for name in ("write", "fsync", "fdatasync", "replace"):
            self._originals[name] = getattr(os, name)
            setattr(os, name, getattr(self, f"_{name}"))
        self._originals["open"], builtins.open = builtins.open, self._open
        return self

    def __exit__(self, *exc) -> None:
        builtins.open = self._originals.pop("open")
        for name, original in self._originals.items():
            setattr(os, name, original)

    def _pass(self, name: str) -> None:
        """Count a call, and raise where it is refused."""
        self.calls.append(name)
        if self._error is None:
            return
        if self._accepted:
            self._accepted -= 1
            return
        raise OSError(self._error, os.strerror(self._error))

    def _holds(self, handle: int) -> bool:
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{handle}"))
        return path == self._path or path.parent == self._path

    def _open(self, path, mode: str = "r", *rest, **options):
        writes = isinstance(path, str | os.PathLike) and "r" not in mode
        if writes and pathlib.Path(path).parent == self._path:
            self._pass("open")
        return self._originals["open"](path, mode, *rest, **options)

    def _write(self, handle: int, data) -> int:
        if not stat.S_ISREG(os.fstat(handle).st_mode):
            return self._originals["write"](handle, data)
        if self._holds(handle):
            if self.refuses and self._torn and len(data) > 1:
                self._torn = False
                data = bytes(data)[: len(data) // 2]
            else:
                self._pass("write")
        return self._originals["write"](handle, data)

    def _fsync(self, handle: int) -> None:
        self._sync("fsync", handle)

    def _fdatasync(self, handle: int) -> None:
        self._sync("fdatasync", handle)

    def _sync(self, name: str, handle: int) -> None:
        if not self._holds(handle):
            self._originals[name](handle)
            return
        status = os.fstat(handle)
        file = status.st_dev, status.st_ino
        if stat.S_ISREG(status.st_mode) and file in self._lost:
            return
        try:
            self._pass(name)
        except OSError:
            self._lost.add(file)
            raise
        self._originals[name](handle)

    def _replace(self, source, target) -> None:
        if pathlib.Path(target).parent == self._path:
            self._pass("replace")
        self._originals["replace"](source, target)
