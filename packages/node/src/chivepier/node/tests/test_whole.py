"""Whole answers out of chunks of any form."""

import json

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest

from chivepier.node.whole import join_events
from chivepier.types import RequestError


def chunks(*plain):
    """Build events."""
    events = [
        b"id: h.%d\ndata: %s\n\n" % (i, json.dumps(p).encode())
        for i, p in enumerate(plain)
    ]
    return b"".join(events) + b"data: [DONE]\n\n"


def test_a_token_may_hold_the_words_of_the_protocol():
    """A user asks about event streams; the answer says "data: x".

    Cut at the last such words, the chunk's JSON was broken, and the caller
    got an internal error for a whole answer.
    """
    text = "write data: [DONE]\ndata: x"
    events = chunks({"id": "g", "choices": [{"text": text}]})
    assert join_events(events, chat=False)["choices"][0]["text"] == text


def test_a_chunk_of_usage_has_no_choice():
    events = chunks(
        {"choices": [{"delta": {"content": "a"}, "finish_reason": "stop"}]},
        {"choices": [], "usage": {"completion_tokens": 7}},
    )
    plain = join_events(events, chat=True)
    assert plain["choices"][0]["message"]["content"] == "a"
    assert plain["choices"][0]["finish_reason"] == "stop"
    assert plain["usage"] == {"completion_tokens": 7}


JSON = st.recursive(
    st.none() | st.integers() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2)
    | st.dictionaries(
        st.sampled_from(["choices", "text", "delta", "content"]), inner
    ),
    max_leaves=6,
)


@hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
@given(st.lists(JSON, max_size=3), st.booleans())
def test_any_chunk_gives_an_answer_or_one_error(plain, chat):
    try:
        assert isinstance(join_events(chunks(*plain), chat), dict)
    except RequestError as error:
        assert error.failure.ran.value == "yes"


@pytest.mark.parametrize("data", [b"x", b"[1]", b'"a"', b"{}"])
def test_a_chunk_of_another_form_is_told(data):
    with pytest.raises(RequestError):
        join_events(b"id: h.0\ndata: " + data + b"\n\n", chat=True)
