"""The short way and the general one agree."""

import typing

import attrs
import cbor2
import pytest

import chivepier.messages
from chivepier.messages import codec
from chivepier.messages import ConfirmRequest
from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import flatform
from chivepier.messages.registry import TAGS
from chivepier.messages.registry import TYPES

# classes are registered when they are first used
for name in chivepier.messages.__all__:
    getattr(chivepier.messages, name)
SAMPLES = {int: 7, float: 1.5, str: "a", bool: True, bytes: b"b"}
FLAT = [cls for cls in TYPES.values() if flatform.find_form(cls) is not None]


def make_sample(cls):
    """Build a message with a value of its type in each field."""
    return cls(*(make_value(field.type) for field in attrs.fields(cls)))


def make_value(kind):
    """Build a value of a type, two of it in a tuple."""
    if kind in SAMPLES:
        return SAMPLES[kind]
    if attrs.has(kind):
        return make_sample(kind)
    return (make_value(typing.get_args(kind)[0]),) * 2


@pytest.mark.parametrize("cls", FLAT, ids=lambda cls: cls.__name__)
def test_bytes_and_message_are_the_same(cls):
    """A node of an earlier build must read what this one sends."""
    value = make_sample(cls)
    plain = cbor2.dumps((TAGS[cls], codec.CONVERTER.unstructure(value)))
    assert encode(value) == plain
    assert decode(plain) == value
    assert hash(decode(plain)) == hash(value)


def test_whole_number_in_a_field_of_fractions_is_read():
    """The general converter reads what doesn't fit exactly."""
    (cls,) = (c for c in FLAT if c.__name__ == "AnnounceAnswer")
    value = decode(cbor2.dumps((TAGS[cls], [True, 1])))
    assert value == cls(True, 1.0)


@pytest.mark.parametrize("fields", [[], ["p", 0], 5, None])
def test_wrong_number_of_fields_is_refused(fields):
    """Too few fields raise, as before; further ones are left out."""
    with pytest.raises((TypeError, ValueError)):
        decode(cbor2.dumps((TAGS[ConfirmRequest], fields)))
