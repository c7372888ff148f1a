"""A folder of real files that can lose power, and whose disk can stall."""

import collections.abc
import os
import pathlib
import random
import shutil
import stat
import threading
import time

STALL_FILE, FRESH_FILE = "stall", "fresh"
SYNCED, RENAMED = "synced", "renamed"
# Between number and name of a rename that is not synced.
SEPARATOR = "-"
STALL_LOOK_SECONDS = 0.01
# At both ends of a copy.
COMPARED_BYTES = 4096


class PoweredFolder:
    """Keeps beside a folder what of it is synced.

    What a process writes is seen by the next one if it is killed, but only
    what was synced is there after a loss of power: a later write may be
    there, missing or torn, and each rename without a sync of the folder may
    be there or not.  While the context lasts, syncs and renames below the
    folder are noted, in any thread of this process; power may be taken by
    another one, once this one has ended.

    :param path: the folder
    :param shadow: where to keep what is synced; survives the process
    """

    def __init__(self, path: pathlib.Path, shadow: pathlib.Path):
        self._path = path
        self._shadow = shadow
        self._originals = (os.fsync, os.fdatasync, os.replace)
        self._number = 0
        # several threads write, each to files of its own
        self._lock = threading.Lock()
        for name in (SYNCED, RENAMED):
            (shadow / name).mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "PoweredFolder":
        fsync, fdatasync, _ = self._originals
        os.fsync = self._watch(fsync)
        os.fdatasync = self._watch(fdatasync)
        os.replace = self._replace
        return self

    def __exit__(self, *exc) -> None:
        os.fsync, os.fdatasync, os.replace = self._originals

    def stall(self) -> None:
        """Let each sync wait from now on."""
        (self._shadow / STALL_FILE).touch()

    def go_on(self) -> None:
        """End a stall."""
        (self._shadow / STALL_FILE).unlink(missing_ok=True)

    def _watch(
        self, sync: collections.abc.Callable
    ) -> collections.abc.Callable:
        def sync_and_note(handle) -> None:
            while (self._shadow / STALL_FILE).exists():
                time.sleep(STALL_LOOK_SECONDS)
            with self._lock:
                sync(handle)
                self._note_sync(handle)

        return sync_and_note

    def _note_sync(self, handle) -> None:
        descriptor = handle if isinstance(handle, int) else handle.fileno()
        path = pathlib.Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if stat.S_ISDIR(os.fstat(descriptor).st_mode):
            if path == self._path:
                self._apply(self._list_renames())
        elif path.parent == self._path:
            fresh = self._shadow / FRESH_FILE
            _copy(path, self._shadow / SYNCED / path.name, fresh)

    def _replace(self, source, target) -> None:
        source, target = pathlib.Path(source), pathlib.Path(target)
        with self._lock:
            if target.parent == self._path:
                self._note_rename(source.name, target.name)
            self._originals[2](source, target)

    def _note_rename(self, source: str, target: str) -> None:
        synced = self._shadow / SYNCED / source
        if synced.exists():
            self._number += 1
            name = f"{self._number:08}{SEPARATOR}{target}"
            self._originals[2](synced, self._shadow / RENAMED / name)

    def _list_renames(self) -> list[pathlib.Path]:
        return sorted((self._shadow / RENAMED).iterdir())

    def _apply(self, renames: list[pathlib.Path]) -> None:
        for rename in renames:
            _, _, name = rename.name.partition(SEPARATOR)
            self._originals[2](rename, self._shadow / SYNCED / name)

    def lose_power(self, rng: random.Random) -> None:
        """Leave of the folder what a loss of power leaves of it.

        :param rng: draws what is lost
        """
        renames = self._list_renames()
        kept = [rename for rename in renames if rng.random() < 0.5]
        self._apply(kept)
        for rename in set(renames) - set(kept):
            rename.unlink()
        for synced in (self._shadow / SYNCED).iterdir():
            written = self._path / synced.name
            later = written.read_bytes() if written.exists() else b""
            _keep_part(synced, later, rng)
        shutil.rmtree(self._path)
        shutil.copytree(self._shadow / SYNCED, self._path)

    def lose_disk(self) -> None:
        """Forget the folder, with all that was synced."""
        shutil.rmtree(self._path, ignore_errors=True)
        for name in (SYNCED, RENAMED):
            shutil.rmtree(self._shadow / name, ignore_errors=True)
            (self._shadow / name).mkdir()


def _copy(
    source: pathlib.Path, target: pathlib.Path, fresh: pathlib.Path
) -> None:
    """Copy a file; of a log that has grown, only what is new."""
    if not (target.exists() and _has_grown(source, target)):
        # the copy may be refused, or the process be killed in the middle
        shutil.copyfile(source, fresh)
        os.rename(fresh, target)
        return
    with open(source, "rb") as stream, open(target, "ab") as copy:
        stream.seek(copy.tell())
        copy.write(stream.read())


def _has_grown(source: pathlib.Path, target: pathlib.Path) -> bool:
    """Tell whether a file begins as its copy does, by the copy's ends."""
    size = target.stat().st_size
    if size > source.stat().st_size:
        return False
    with open(source, "rb") as stream, open(target, "rb") as copy:
        for start in (0, max(0, size - COMPARED_BYTES)):
            stream.seek(start)
            copy.seek(start)
            length = min(COMPARED_BYTES, size)
            if stream.read(length) != copy.read(length):
                return False
    return True


def _keep_part(synced: pathlib.Path, later: bytes, rng: random.Random) -> None:
    """Add to a synced file some of what was written after its sync."""
    content = synced.read_bytes()
    if not later.startswith(content):
        return
    end = rng.randint(len(content), len(later))
    synced.write_bytes(later[: rng.choice((len(content), end, len(later)))])
