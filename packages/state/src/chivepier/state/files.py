"""Writes that a loss of power keeps whole."""

import collections.abc
import contextlib
import os
import pathlib


def write_all(handle: int, data: bytes) -> None:
    """Write all bytes; a disk that fills up takes only some at a time.

    :param handle: descriptor of an open file
    :param data: what to write
    :raises OSError: when the disk refuses; some bytes may be written
    """
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(handle, rest) :]


def write_synced(folder: pathlib.Path, name: str, data: bytes) -> None:
    """Replace a file so that a crash leaves the old or the new one.

    :param folder: where it lives
    :param name: its name
    :param data: its new content
    :raises OSError: when the disk refuses; the old or the new one is left
    """
    write_parts_synced(folder, name, (data,))


def write_parts_synced(
    folder: pathlib.Path, name: str, parts: collections.abc.Iterable[bytes]
) -> None:
    """Replace a file as :func:`write_synced` does.

    :param folder: where it lives
    :param name: its name
    :param parts: its new content, of which one part at a time is in memory
    :raises OSError: when the disk refuses; the old or the new one is left
    """
    fresh = folder / f"{name}.new"
    try:
        _write_file(fresh, parts)
        os.replace(fresh, folder / name)
    except OSError:
        # on a full disk, a part of a file would take the room that is left
        with contextlib.suppress(OSError):
            fresh.unlink()
        raise
    sync_path(folder)


def _write_file(
    path: pathlib.Path, parts: collections.abc.Iterable[bytes]
) -> None:
    with open(path, "wb", buffering=0) as stream:
        for part in parts:
            write_all(stream.fileno(), part)
        os.fsync(stream.fileno())


def sync_path(path: pathlib.Path) -> None:
    """Sync a file, or a folder so that a new name in it survives a crash.

    :param path: an existing file or folder
    :raises OSError: when the disk refuses
    """
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
