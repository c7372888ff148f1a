"""Encoding of the frames that processes exchange."""

import enum
import typing

import cbor2

from chivepier.messages import pack
from chivepier.messages import unpack

# Bytes above which a frame of several parts is split.
MAX_BATCH_BYTES = 4 << 20
# Errors that decoding a malformed frame may raise.
FRAME_ERRORS = (KeyError, TypeError, ValueError, cbor2.CBORDecodeError)
# Errors that encoding a message may raise, such as one with a text that is
# not valid Unicode.
ENCODE_ERRORS = (TypeError, ValueError, OverflowError, cbor2.CBOREncodeError)


class Part(enum.IntEnum):
    """The kind of one part of a frame: one message, answer or error."""

    SEND = 0
    REQUEST = 1
    ANSWER = 2
    FAILED = 3


def pack_part(part: Part, number: int, value: typing.Any) -> tuple:
    """Build one part of a frame.

    :param part: the kind of the part
    :param number: number of the request, also used by its answer
    :param value: a registered message, or the error's text for ``FAILED``
    :returns: the part as plain values that CBOR can encode
    """
    if part is Part.FAILED:
        return int(part), number, 0, value
    tag, fields = pack(value)
    return int(part), number, tag, fields


def dump_frame(parts: list[tuple]) -> bytes:
    """Encode parts as one frame.

    :param parts: parts built by :func:`pack_part`
    :returns: the frame as CBOR
    :raises ValueError: when a part can't be encoded
    """
    try:
        return cbor2.dumps(parts)
    except ENCODE_ERRORS as error:
        raise ValueError(f"can't encode: {error!s:.200}") from error


def dump_frames(parts: list[tuple]) -> list[bytes]:
    """Encode parts as one or more frames of limited size.

    Several large parts in one frame could exceed the size that the peer
    accepts; the peer would close the link, and all parts would be lost.

    :param parts: parts built by :func:`pack_part`
    :returns: frames as CBOR, each of at most ``MAX_BATCH_BYTES`` bytes or of
        a single part
    :raises ValueError: when a part can't be encoded
    """
    data = dump_frame(parts)
    if len(data) <= MAX_BATCH_BYTES or len(parts) == 1:
        return [data]
    middle = len(parts) // 2
    return dump_frames(parts[:middle]) + dump_frames(parts[middle:])


def load_frame(data: bytes) -> list[tuple[Part, int, typing.Any]]:
    """Decode a frame.

    :param data: a frame from a peer, as CBOR
    :returns: kind, request number and message or error text of each part
    :raises ValueError: when the frame is malformed
    """
    try:
        return [_load_part(plain) for plain in cbor2.loads(data)]
    except FRAME_ERRORS as error:
        raise ValueError(f"malformed frame: {error!r}") from error


def _load_part(plain: typing.Any) -> tuple[Part, int, typing.Any]:
    kind, number, tag, fields = plain
    part = Part(kind)
    if part is Part.FAILED:
        return part, number, fields
    return part, number, unpack(tag, fields)
