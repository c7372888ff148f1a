"""Checksummed records in a file."""

import struct

import xxhash

from chivepier.state.damagederror import DamagedError

FIELDS = struct.Struct("<IQ")
CHECK = struct.Struct("<I")
HEADER_SIZE = FIELDS.size + CHECK.size


def pack_record(payload: bytes) -> bytes:
    """Frame a payload with its length and checksums.

    The header has a checksum of its own: a damaged length that pointed
    beyond the file's end would pass for a torn tail, and all behind it
    would be cut.

    :param payload: any bytes
    :returns: header and payload
    """
    fields = FIELDS.pack(len(payload), xxhash.xxh3_64_intdigest(payload))
    return fields + CHECK.pack(xxhash.xxh32_intdigest(fields)) + payload


def read_records(data: bytes, name: str) -> tuple[list[memoryview], int]:
    """Read records and find where a torn tail begins.

    A crash can leave the last write incomplete; it was never answered for,
    so it may be cut.  A record is written only after the one before it was
    synced, so an intact record behind a bad one proves that the bad one is
    damage and not a torn write.

    :param data: the whole file
    :param name: the file's name, for the error
    :returns: payloads, which are parts of ``data`` and no copies, and the
        length of the intact part in bytes
    :raises DamagedError: when a bad record stands before the tail
    """
    payloads: list[memoryview] = []
    offset = 0
    while (payload := _read_at(data, offset)) is not None:
        payloads.append(payload)
        offset += HEADER_SIZE + len(payload)
    if offset < len(data) and _find_record(data, offset + 1):
        raise DamagedError(f"{name}: bad record at byte {offset}")
    return payloads, offset


def _read_at(data: bytes, offset: int) -> memoryview | None:
    start = offset + HEADER_SIZE
    if start > len(data):
        return None
    fields = data[offset : offset + FIELDS.size]
    (header_check,) = CHECK.unpack_from(data, offset + FIELDS.size)
    if xxhash.xxh32_intdigest(fields) != header_check:
        return None
    size, check = FIELDS.unpack(fields)
    payload = memoryview(data)[start : start + size]
    if len(payload) < size or xxhash.xxh3_64_intdigest(payload) != check:
        return None
    return payload


def _find_record(data: bytes, start: int) -> bool:
    # zeros are what a crash leaves of a write that was only allocated
    end = len(data.rstrip(b"\0"))
    return any(_read_at(data, o) is not None for o in range(start, end))
