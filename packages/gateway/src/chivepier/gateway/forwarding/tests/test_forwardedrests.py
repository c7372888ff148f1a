"""Tests of what other entries answer where the rest of a stream is due."""

import asyncio

import attrs
import pytest

import chivepier.gateway.forwarding.forwardclient as forwardclient
from chivepier.gateway.forwarding.tests.peersite import play_site
import chivepier.gateway.serving.detour as detour
from chivepier.gateway.serving.tests.fakeengines import UNSIGNED_FIELD
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import RequestError

ALL = ("x", "w-x")
EVENTS = 4
STREAM = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, EVENTS + 1))
HTML = (("Content-Type", "text/html"),)
GZIP = (("Content-Encoding", "gzip"),)
# status, headers and body of an answer that is no rest of a stream
FOREIGN = {
    "500": (500, (), b"bad"),
    "500-empty": (500, (), b""),
    "500-events": (500, (), b"id: 5\ndata: 5\n\n"),
    "404": (404, (), b"no such thing"),
    "302": (302, (), b""),
    "503": (503, (), b"busy"),
    "429": (429, (), b""),
    "421": (421, (), b""),
    "202": (202, (), b"later"),
    "206": (206, (), b"id: 5\ndata: 5\n\n"),
    "type": (200, HTML, b"<p>bad</p>"),
    "type-empty": (200, HTML, b""),
    "coding": (200, GZIP, b"\x1f\x8b"),
    # not judged by entries of the release before
    "unsigned": (200, (UNSIGNED_FIELD,), b"id: 5\ndata: 5\n\n"),
    "unsigned-empty": (200, (UNSIGNED_FIELD,), b""),
}


def answer_with(entry, status, headers, body) -> None:
    """Have the targets of an entry answer all requests alike."""
    send = entry.parts.engines.send

    async def send_and_end(*args):
        run = await send(*args)
        run.status = status
        run.headers += headers
        if body:
            run.make(0, body.decode("latin-1"))
        # once for the read that waits for the first event
        run.end()
        run.end()
        return run

    entry.parts.engines.send = send_and_end


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_error_over_another_entry_never_becomes_a_part_of_a_stream(foreign):
    # It was relayed as the rest of the stream, which was told as whole.
    async def test(site):
        cut_off, other = site.entries
        answer_with(other, *foreign)
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        run = await cut_off.parts.engines.wait_run(1)
        run.make(EVENTS)
        await caller.wait_events(EVENTS)
        cut_off.cut(*ALL)
        run.cut()
        await task
        assert other.count_sends() == 1
        assert caller.data.decode() == STREAM
        assert caller.aborted and not caller.finished
        (line,) = cut_off.parts.read_lines("request_forwarded")
        assert line["after"] == str(EVENTS)
        assert cut_off.parts.read_lines("stream_cut")

    play_site(test)


@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN)
def test_error_over_another_entry_begins_no_stream(foreign):
    # A stream that broke before its first event was begun by an error.
    async def test(site):
        cut_off, other = site.entries
        answer_with(other, *foreign)
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        run = await cut_off.parts.engines.wait_run(1)
        run.make(0, "id: 1\nda")
        await wait_until(lambda: run.is_read)
        cut_off.cut(*ALL)
        run.cut()
        with pytest.raises(RequestError):
            await task
        assert other.count_sends() == 1
        assert caller.status is None and not caller.data

    play_site(test)


def forward_as_before(monkeypatch) -> None:
    """Have entries forward, and take answers, as the release before."""
    pack = forwardclient.pack_request

    def pack_unjudged(*args):
        return attrs.evolve(pack(*args), judges=False)

    monkeypatch.setattr(forwardclient, "pack_request", pack_unjudged)
    monkeypatch.setattr(detour, "check_continuation", lambda answer: None)


STATUSES = (
    "500",
    "500-empty",
    "500-events",
    "404",
    "302",
    "503",
    "202",
    "206",
)


@pytest.mark.parametrize("name", STATUSES)
def test_entry_hands_no_error_on_as_a_rest_to_one_of_the_release_before(
    name, monkeypatch
):
    # Entries of the release before take any status for the rest of a stream.
    async def test(site):
        cut_off, other = site.entries
        answer_with(other, *FOREIGN[name])
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        run = await cut_off.parts.engines.wait_run(1)
        run.make(EVENTS)
        await caller.wait_events(EVENTS)
        cut_off.cut(*ALL)
        run.cut()
        await task
        assert caller.data.decode() == STREAM
        assert caller.aborted and not caller.finished
        (line,) = other.parts.read_lines("forward_ended")
        assert line["outcome"] == "target_failed"

    forward_as_before(monkeypatch)
    play_site(test)


@pytest.mark.parametrize("name", ("404", "500"))
@pytest.mark.parametrize("is_before", (False, True))
def test_failure_over_another_entry_reaches_a_caller_that_takes_up(
    name, is_before, monkeypatch
):
    # It has the status that its target gave.
    async def test(site):
        cut_off, other = site.entries
        answer_with(other, *FOREIGN[name])
        cut_off.cut(*ALL)
        request = make_request("/resume/a", last_event="4")
        caller = await cut_off.parts.serve(request)
        status, _, body = FOREIGN[name]
        assert (caller.status, caller.data) == (status, body)

    if is_before:
        forward_as_before(monkeypatch)
    play_site(test)


def test_caller_that_leaves_a_forwarded_rest_is_counted_off_once():
    # Its first target seemed emptier than it was until the entry ended.
    async def test(site):
        cut_off, other = site.entries
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        run = await cut_off.parts.engines.wait_run(1)
        run.make(2)
        await caller.wait_events(2)
        cut_off.cut(*ALL)
        # no answer comes before its caller leaves
        other.parts.engines.heads.clear()
        run.cut()
        await wait_until(lambda: other.count_sends())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for load in cut_off.parts.loads.list_own():
            assert not (load.runs or load.tokens or load.avoiding)

    play_site(test)


SUCCESSES = [name for name, (status, *_) in FOREIGN.items() if status < 300]


@pytest.mark.parametrize("name", SUCCESSES)
def test_success_over_another_entry_is_no_rest_to_a_caller_that_takes_up(name):
    # Its caller put the text of an error behind the events that it had.
    async def test(site):
        cut_off, other = site.entries
        answer_with(other, *FOREIGN[name])
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(
            make_request("/resume/a", last_event="4")
        )
        with pytest.raises(RequestError):
            await task
        assert other.count_sends()
        assert caller.status is None and not caller.data

    play_site(test)
