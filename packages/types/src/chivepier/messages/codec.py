"""CBOR for typed messages."""

import typing

import cattrs
import cbor2

from chivepier.messages.flatform import find_form
from chivepier.messages.registry import find_type
from chivepier.messages.registry import TAGS

CONVERTER = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
)
CONVERTER.register_structure_hook(bytes, lambda value, _: value)


def pack(value: typing.Any) -> tuple[int, typing.Any]:
    """Turn a message into its tag and a tuple of plain values.

    :param value: an instance of a registered class
    :returns: tag and fields in their order of declaration
    :raises KeyError: when the class is not registered
    """
    cls = type(value)
    form = find_form(cls)
    if form is not None:
        return TAGS[cls], form.take_apart(value)
    return TAGS[cls], CONVERTER.unstructure(value)


def unpack(tag: int, fields: typing.Any) -> typing.Any:
    """Build the message again.

    :param tag: the class's number
    :param fields: its plain values
    :returns: the message
    :raises KeyError: when the tag is unknown
    :raises TypeError: when there are too few fields
    :raises ValueError: when they are of other types
    """
    cls = find_type(tag)
    form = find_form(cls)
    if form is not None and form.fits(fields):
        return form.build(fields)
    try:
        return CONVERTER.structure(fields, cls)
    except cattrs.BaseValidationError as error:
        # a group of errors, which nobody who reads a frame expects
        text = f"not a {cls.__name__}: {error.exceptions[0]!r}"
        raise ValueError(text) from None


def encode(value: typing.Any) -> bytes:
    """Encode one message, as it stands in the log.

    >>> from chivepier.messages import Noop
    >>> decode(encode(Noop()))
    Noop()

    :param value: an instance of a registered class
    :returns: CBOR of tag and fields
    """
    return cbor2.dumps(pack(value))


def decode(data: bytes) -> typing.Any:
    """Decode what :func:`encode` made.

    :param data: CBOR of tag and fields
    :returns: the message
    """
    tag, fields = cbor2.loads(data)
    return unpack(tag, fields)
