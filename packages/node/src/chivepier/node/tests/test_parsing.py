"""Any input gives a typed value or one RequestError, and no harm."""

import json
import sys

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest
import xxhash

from chivepier.node.bodies import parse_json
from chivepier.node.completion import BLOCK_CHARS
from chivepier.node.completion import Completion
from chivepier.node.completion import parse_completion
from chivepier.node.engineclient import read_ran
from chivepier.node.handle import Handle
from chivepier.node.handle import open_handle
from chivepier.node.ledger import read_key
from chivepier.node.linklosterror import LinkLostError
from chivepier.node.operators import parse_change
from chivepier.node.ssebuffer import SseBuffer
from chivepier.node.targets import parse_announcement
from chivepier.types import Ran
from chivepier.types import RequestError

FIXED = hypothesis.settings(
    derandomize=True, max_examples=200, deadline=None, database=None
)
PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(["template", "team", "user", "m"]),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(
            "model messages role content prompt stream n max_tokens"
            " change_id edits kind name spec base_version pool grants".split()
        )
        | st.text(max_size=4),
        inner,
        max_size=6,
    ),
    max_leaves=20,
)
SECRET = b"secret"


def give(function, *args):
    """Call a parser; only a RequestError may come out."""
    try:
        return function(*args)
    except RequestError as error:
        assert error.failure.ran is Ran.NO
        assert "\n" not in error.failure.message
        return None


@FIXED
@given(PLAIN, st.booleans())
def test_completions(plain, chat):
    ask = give(parse_completion, plain, chat)
    assert ask is None or isinstance(ask, Completion)


@FIXED
@given(st.binary() | PLAIN.map(lambda p: json.dumps(p).encode()))
def test_bodies(data):
    plain = give(parse_json, data)
    json.dumps(plain, ensure_ascii=False, allow_nan=False).encode()


@FIXED
@given(PLAIN)
def test_changes_and_announcements(plain):
    give(parse_change, plain)
    give(parse_announcement, plain)


@FIXED
@given(st.text() | st.from_regex(r"[A-Za-z0-9_=-]{0,40}\.[-+0-9]{0,12}"))
def test_handles(text):
    give(open_handle, text, SECRET, "t")


@FIXED
@given(st.text())
def test_keys(text):
    key = give(read_key, text)
    assert key is None or key == text


@FIXED
@given(st.lists(st.binary(max_size=40), max_size=8))
def test_streams(chunks):
    buffer = SseBuffer(b"h.", b"g")
    for chunk in chunks:
        try:
            buffer.feed(chunk)
        except LinkLostError:
            buffer.restart()


@FIXED
@given(
    st.lists(st.integers(1, 200), max_size=30), st.integers(0, 20), st.data()
)
def test_streams_cut_anywhere_give_each_event_once(cuts, length, data):
    """Bytes of one generation, cut anywhere, with repeats after a resume."""
    events = [
        b'id: %d\ndata: {"id":"g","t":%d}\n\n' % (i, i) for i in range(length)
    ]
    buffer = SseBuffer(b"h.", b"g")
    delivered = b""
    while not buffer.finished:
        start = data.draw(st.integers(0, buffer.following))
        stream = b"".join(events[start:]) + b"data: [DONE]\n\n"
        size = cuts.pop() if cuts else len(stream)
        delivered += buffer.feed(stream[:size])
        buffer.restart()
    expected = b"".join(b"id: h." + e[4:] for e in events)
    assert delivered == expected + b"data: [DONE]\n\n"


@FIXED
@given(st.binary())
def test_refusals(data):
    assert read_ran(data) in (Ran.NO, Ran.UNKNOWN)


def test_another_team_cannot_open_a_handle():
    text = Handle("a:1", "g", "t", "m").seal(SECRET) + ".3"
    assert open_handle(text, SECRET, "t")[1] == 3
    with pytest.raises(RequestError, match="another team"):
        open_handle(text, SECRET, "u")
    with pytest.raises(RequestError):
        open_handle("A" + text[1:], SECRET, "t")


def test_without_a_secret_no_handle_is_made_or_opened():
    """Under an empty secret anyone could forge a team's handle."""
    handle = Handle("a:1", "g", "t", "m")
    with pytest.raises(RequestError):
        handle.seal(b"")
    with pytest.raises(RequestError):
        open_handle(handle.seal(b"x") + ".1", b"", "t")


@pytest.mark.parametrize(
    "data",
    [
        b'{"a": NaN}',
        b'{"a": 1e999}',
        b'"\\ud800"',
        b"[" * 100 + b"]" * 100,
        b"[" * 100_000,
        b"[1" + b",1" * 300_000 + b"]",
        '{"a": 1}'.encode("utf-16"),
        b"1" * (sys.get_int_max_str_digits() + 1),
        b"\xff",
    ],
)
def test_bodies_written_in_bad_faith_are_refused(data):
    with pytest.raises(RequestError):
        parse_json(data)


def test_a_prompts_hashes_are_those_that_its_engine_announces():
    """Requests and announcements must shorten the engines' hashes alike.

    Where they differ, no announced prefix ever fits a prompt: requests go
    to targets that have to read the whole prompt again.
    """
    prompt = "".join(chr(ord("a") + n) * BLOCK_CHARS for n in range(3))
    digest = xxhash.xxh3_64(b"advisers")
    whole = []
    for number in range(3):
        start = number * BLOCK_CHARS
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        whole.append(digest.intdigest())
    assert max(whole) >= 1 << 32
    plain = {
        "target": "t",
        "incarnation": 1,
        "sequence": 1,
        "kind": "engine",
        "pool": "p",
        "address": "a:1",
        "zone": "z",
        "models": ["m"],
        "adapters": [],
        "role": "serve",
        "leaving": False,
        "capacity_tokens": 1,
        "max_streams": 1,
        "load": {
            "running": 0,
            "waiting": 0,
            "used_tokens": 0,
            "preemptions": 0,
        },
        "cached": whole,
        "checks_fence": False,
    }
    ask = parse_completion({"model": "m", "prompt": prompt}, chat=False)
    hashes = ask.hash_prefixes("advisers")
    assert parse_announcement(plain).cached == hashes
    assert len(set(hashes)) == 3 and max(hashes) < 1 << 32
