"""The frame between processes."""

import enum
import typing

import cbor2

from chivepier.messages import pack
from chivepier.messages import unpack

MAX_BATCH_BYTES = 4 << 20
# What reading a frame of another writer may raise.
FRAME_ERRORS = (KeyError, TypeError, ValueError, cbor2.CBORDecodeError)


class Part(enum.IntEnum):
    """What one part of a frame is."""

    SEND = 0
    REQUEST = 1
    ANSWER = 2
    FAILED = 3


def pack_part(part: Part, number: int, value: typing.Any) -> tuple:
    """Build one part of a frame.

    :param part: what the part is
    :param number: pairs an answer with its request
    :param value: a registered message, or a text for ``FAILED``
    :returns: plain values
    """
    if part is Part.FAILED:
        return int(part), number, 0, value
    tag, fields = pack(value)
    return int(part), number, tag, fields


def dump_frame(parts: list[tuple]) -> bytes:
    """Encode the parts that are ready as one frame.

    :param parts: what :func:`pack_part` made
    :returns: CBOR
    """
    return cbor2.dumps(parts)


def dump_frames(parts: list[tuple]) -> list[bytes]:
    """Encode the parts that are ready, in more than one frame if need be.

    Large parts that happen to be ready together would else make a frame
    that the peer refuses, and the link would be lost with all of them.

    :param parts: what :func:`pack_part` made
    :returns: CBOR, each no longer than a frame should be, or of one part
    """
    data = dump_frame(parts)
    if len(data) <= MAX_BATCH_BYTES or len(parts) == 1:
        return [data]
    middle = len(parts) // 2
    return dump_frames(parts[:middle]) + dump_frames(parts[middle:])


def load_frame(data: bytes) -> list[tuple[Part, int, typing.Any]]:
    """Decode a frame.

    :param data: CBOR from a peer
    :returns: its parts, with messages built again
    :raises ValueError: when the frame is not one of ours
    """
    try:
        return [_load_part(plain) for plain in cbor2.loads(data)]
    except FRAME_ERRORS as error:
        raise ValueError(f"bad frame: {error!r}") from error


def _load_part(plain: typing.Any) -> tuple[Part, int, typing.Any]:
    kind, number, tag, fields = plain
    part = Part(kind)
    if part is Part.FAILED:
        return part, number, fields
    return part, number, unpack(tag, fields)
