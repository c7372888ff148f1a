"""Checksummed records in a file."""

import struct

import xxhash

from chivepier.state.damagederror import DamagedError

HEADER = struct.Struct("<IQ")


def pack_record(payload: bytes) -> bytes:
    """Frame a payload with its length and checksum.

    :param payload: any bytes
    :returns: header and payload
    """
    check = xxhash.xxh3_64_intdigest(payload)
    return HEADER.pack(len(payload), check) + payload


def read_records(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Read records and find where a torn tail begins.

    A crash can leave the last write incomplete; it was never answered for,
    so it may be cut.  A bad record with more data behind it is damage.

    :param data: the whole file
    :param name: the file's name, for the error
    :returns: payloads, and the length of the intact part in bytes
    :raises DamagedError: when a bad record stands before the tail
    """
    payloads: list[bytes] = []
    offset = 0
    while offset + HEADER.size <= len(data):
        size, check = HEADER.unpack_from(data, offset)
        end = offset + HEADER.size + size
        if end > len(data):
            break
        payload = data[offset + HEADER.size : end]
        if xxhash.xxh3_64_intdigest(payload) != check:
            if end < len(data):
                text = f"{name}: bad record at byte {offset}"
                raise DamagedError(text)
            break
        payloads.append(payload)
        offset = end
    return payloads, offset
