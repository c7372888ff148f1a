"""Tests of sound streams, which are relayed as their targets sent them."""

import pytest

from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play

MARK = "\ufeff"
LARGE = 10**39
VERSION = "x-weight-versions: 2"
# Characters of one read of a body.
READ_CHARACTERS = (1, 3, 7, 1000)
SOUND = {
    "crlf": "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    "cr": "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
    "mark": f"{MARK}id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "mark-comment": f"{MARK}: c\n\nid: 1\ndata: a\n\n",
    "version": f"id: 1\ndata: a\n\n{VERSION}\nid: 2\ndata: b\n\n",
    "version-crlf": f"{VERSION}\r\nid: 2\r\ndata: b\r\n\r\n",
    "version-comments": f": c\n{VERSION}\n: c\nid: 1\ndata: b\n\n",
    "version-mark": f"{MARK}{VERSION}\nid: 1\ndata: b\n\n",
    "zeros": "id: 001\ndata: a\n\nid: 002\ndata: b\n\n",
    "from-zero": "id: 0\ndata: a\n\nid: 1\ndata: b\n\n",
    "no-space": "id:1\ndata:a\n\nid:2\ndata:b\n\n",
    "spaces": "id:  7 \ndata: a\n\nid:\t8\ndata: b\n\n",
    "large": f"id: {LARGE}\ndata: a\n\nid: {LARGE + 1}\ndata: b\n\n",
    "too-large": f"id: {LARGE}0\ndata: a\n\nid: {LARGE}1\ndata: b\n\n",
    "names": "id: a1\ndata: a\n\nid: a2\ndata: b\n\n",
    "unnumbered": "data: a\n\ndata: b\n\n",
    "late-numbers": "data: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n",
    "no-data": "id: 1\n\nid: 2\n\n",
    "empty-data": "id: 1\ndata\n\nid: 2\ndata:\n\n",
    "id-last": "data: a\nid: 1\n\ndata: b\nid: 2\n\n",
    "two-ids": "id: 1\nid: 2\ndata: a\n\nid: 3\ndata: b\n\n",
    "retry": "retry: 5\n\nid: 1\nretry: 5\ndata: a\n\n",
    "blanks": "\n\n\nid: 1\ndata: a\n\n\n\n\nid: 2\ndata: b\n\n",
    "rest": "id: 1\ndata: a\n\nid: 2\ndata: b",
    "rest-comment": "id: 1\ndata: a\n\n: bye",
    "text": "hello world\n\nmore: of it\n\n",
    "json": '{"a": 1}',
}
# what the next target sends after event 2, and what of it the caller lacks
RESTS = {
    "comment": (": c\n\nid: 3\ndata: 3\n\n", ": c\n\nid: 3\ndata: 3\n\n"),
    "version": (f"{VERSION}\nid: 3\ndata: 3\n\n",) * 2,
    "mark": (f"{MARK}id: 3\ndata: 3\n\n", "id: 3\ndata: 3\n\n"),
    "known": ("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", ""),
    "known-rest": ("id: 2\ndata: 2\n\nid: 3\ndata: 3", "id: 3\ndata: 3"),
    "crlf": ("id: 3\r\ndata: 3\r\n\r\n",) * 2,
    "nothing": ("", ""),
    "silence": (": c\n\n\n\n",) * 2,
}


def send_in_reads(run, text: str, size: int) -> None:
    """Send a whole body, of which so many characters are read at once."""
    for at in range(0, len(text), size):
        run.make(0, text[at : at + size])
    run.end()


@pytest.mark.parametrize("size", READ_CHARACTERS)
@pytest.mark.parametrize("path", ("/llm/x", "/resume/x"))
@pytest.mark.parametrize("text", SOUND.values(), ids=SOUND)
def test_sound_stream_is_not_cut_as_an_error(text, path, size):
    async def test(parts):
        caller, task = parts.start(make_request(path))
        run = await parts.engines.wait_run(1)
        send_in_reads(run, text, size)
        await task
        assert caller.data == text.encode() and caller.finished

    play(test, "a")


@pytest.mark.parametrize("size", READ_CHARACTERS)
@pytest.mark.parametrize("rest", RESTS.values(), ids=RESTS)
def test_sound_rest_is_not_refused_as_an_error(rest, size):
    async def test(parts):
        sent, lacking = rest
        caller, task, run = await begin(parts, "/resume/x")
        before = caller.data
        run.cut()
        fresh = await parts.engines.wait_run(2)
        send_in_reads(fresh, sent, size)
        await task
        assert caller.data == before + lacking.encode() and caller.finished

    play(test, "a", "b")
