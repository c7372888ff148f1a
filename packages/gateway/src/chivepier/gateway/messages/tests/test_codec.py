"""Tests of the fast and the general codec for control plane messages."""

import typing

import attrs
import cbor2
import pytest

import chivepier.gateway.messages as messages
from chivepier.messages import codec
from chivepier.messages import decode
from chivepier.messages import encode
from chivepier.messages import flatform
from chivepier.messages.registry import TAGS

SAMPLES = {int: 7, float: 1.5, str: "a", bool: True, bytes: b"b"}
CLASSES = [getattr(messages, name) for name in messages.__all__]


def make_sample(kind: typing.Any) -> typing.Any:
    """Make a sample value of a type; tuples contain two items."""
    if kind in SAMPLES:
        return SAMPLES[kind]
    if attrs.has(kind):
        return kind(*(make_sample(f.type) for f in attrs.fields(kind)))
    return (make_sample(typing.get_args(kind)[0]),) * 2


@pytest.mark.parametrize("cls", CLASSES, ids=lambda cls: cls.__name__)
def test_fast_and_general_codec_agree(cls):
    # Load messages contain tuples of records, which the general codec decodes
    # too slowly: a voter with 38 entries spent 7 % of a core on it.
    assert flatform.find_form(cls) is not None
    value = make_sample(cls)
    plain = cbor2.dumps((TAGS[cls], codec.CONVERTER.unstructure(value)))
    assert encode(value) == plain
    assert decode(plain) == value


def test_integer_in_float_field_is_read_by_general_codec():
    # The record contains an integer in a field of type float.
    record = ["i1", "s", "10.0.0.1:80", "z", "ready", 1, 4, 0, 1, 0]
    plain = cbor2.dumps((TAGS[messages.TargetNotice], [[record]]))
    (target,) = decode(plain).records
    assert type(target.warming) is float and target.age == 1.0


@pytest.mark.parametrize("record", [5, None, [], ["e1"], {}])
def test_malformed_record_is_rejected(record):
    plain = cbor2.dumps((TAGS[messages.LoadNotice], [[record], [], True]))
    with pytest.raises((TypeError, ValueError)):
        decode(plain)
