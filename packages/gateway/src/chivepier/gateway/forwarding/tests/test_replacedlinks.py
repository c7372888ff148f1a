"""Tests of forwarded answers whose links fall silent and are replaced."""

import asyncio
import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from chivepier.gateway.forwarding import ForwardServer
from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.forwarding.tests.heldlink import HeldLink
from chivepier.gateway.forwarding.tests.peersite import play_site
from chivepier.gateway.messages import ForwardCancel
from chivepier.gateway.messages import ForwardRead
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.onewaylink import deafen
from chivepier.standins.onewaylink import mute
from chivepier.types import Ran

ALL = ("x", "w-x")
EVENT = "id: 2\ndata: 2\n\n"
# Seconds after which an answer that nobody reads has ended.
ENDED_SECONDS = 3.6


def silence(link) -> None:
    """Lose what a link sends and what it would receive."""
    mute(link)
    deafen(link)


WAYS = (mute, deafen, silence)


def find_link(entry):
    """Return the link that an entry uses now."""
    (link,) = entry.links._channels.values()
    return link


async def replace_link(entry, lose) -> None:
    """Silence the link of an entry, and wait for the one that replaces it."""
    link = find_link(entry)
    lose(link)
    await wait_until(lambda: find_link(entry) is not link)


async def start_stream(site, path: str = "/llm/a"):
    """Forward a stream, and return its caller after the first event."""
    cut_off, other = site.entries[:2]
    cut_off.cut(*ALL)
    caller, task = cut_off.parts.start(make_request(path))
    run = await other.parts.engines.wait_run(1)
    run.make(1)
    await caller.wait_events(1)
    return caller, task, run


def restart(entry) -> ForwardServer:
    """Have another run of an entry listen at its port, and break its links."""
    fresh = ForwardServer(
        handler=entry.parts.serving,
        bodies=entry.bodies,
        state=entry.parts.state,
        is_leaving=lambda: False,
        clock=entry.clock,
        log=entry.log,
        metrics=Metrics(),
    )
    entry.server._handler = fresh.handle
    break_links(entry)
    return fresh


def break_links(entry) -> None:
    """Reset all links to an entry."""
    for connection in list(entry.server._server.connections):
        connection.transport.abort()


@pytest.mark.parametrize(
    "path, lose", tuple(itertools.product(("/llm/a", "/plain/a"), WAYS))
)
def test_link_is_replaced_before_the_first_byte(path, lose):
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.heads.clear()
        caller, task = cut_off.parts.start(make_request(path))
        run = await other.parts.engines.wait_run(1)
        await asyncio.sleep(0.2)
        lose(find_link(cut_off))
        await asyncio.sleep(4.0)
        other.parts.engines.heads.set()
        run.make(2)
        run.end()
        await task
        assert caller.data.count(b"id: ") == 2 and caller.finished
        assert site.count_sends() == 1

    play_site(test)


@pytest.mark.parametrize("lose", WAYS)
def test_link_is_replaced_between_two_events(lose):
    async def test(site):
        caller, task, run = await start_stream(site)
        lose(find_link(site.entries[0]))
        run.make(2)
        await caller.wait_events(3)
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2, 3, 4] and caller.finished

    play_site(test)


@pytest.mark.parametrize(
    "lose, length",
    tuple(itertools.product(WAYS, range(1, len(EVENT), 4))),
)
def test_link_is_replaced_within_an_event(lose, length):
    async def test(site):
        caller, task, run = await start_stream(site)
        run.make(0, EVENT[:length])
        await asyncio.sleep(0.1)
        lose(find_link(site.entries[0]))
        await asyncio.sleep(0.6)
        run.make(0, EVENT[length:])
        run.number = 2
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished

    play_site(test)


@pytest.mark.parametrize("lose", WAYS)
def test_link_is_replaced_at_the_last_read(lose):
    # Guards against dropping an answer that has ended before its end was read.
    async def test(site):
        cut_off, other = site.entries
        caller, task, run = await start_stream(site)
        lose(find_link(cut_off))
        run.make(1)
        run.end()
        await wait_until(lambda: other.parts.read_lines("forward_ended"))
        assert not task.done()
        await task
        assert caller.numbers == [1, 2] and caller.finished
        await asyncio.sleep(0.1)
        assert not other.forwards._sessions

    play_site(test)


@pytest.mark.parametrize(
    "first, second", tuple(itertools.product(WAYS, repeat=2))
)
def test_two_links_in_a_row_are_replaced(first, second):
    async def test(site):
        cut_off, _ = site.entries
        caller, task, run = await start_stream(site)
        await replace_link(cut_off, first)
        second(find_link(cut_off))
        run.make(1)
        await caller.wait_events(2)
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished
        assert site.count_sends() == 1

    play_site(test)


def test_reset_link_is_replaced():
    async def test(site):
        cut_off, other = site.entries
        caller, task, run = await start_stream(site)
        break_links(other)
        run.make(1)
        await caller.wait_events(2)
        break_links(other)
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2, 3] and caller.finished

    play_site(test)


def test_another_run_of_the_entry_gives_no_answer_of_another_request():
    # Guards against handing a caller what belongs to another one: each run of
    # an entry counted its answers from one.
    async def test(site):
        cut_off, other = site.entries
        caller, task, run = await start_stream(site)
        (handle,) = other.forwards._sessions
        fresh = restart(other)
        await asyncio.sleep(0.1)
        request = make_request("/llm/a", id="r2")
        second, second_task = cut_off.parts.start(request)
        second_run = await other.parts.engines.wait_run(2)
        second_run.make(3)
        await second.wait_events(3)
        run.make(1)
        await asyncio.wait((task,))
        assert caller.numbers == [1] and caller.aborted
        assert not caller.finished
        for offset in (0, 14):
            message = ForwardRead(handle, offset)
            part = await find_link(cut_off).request(message, 1.0)
            assert ForwardState(part.state) is ForwardState.BROKEN
        assert handle not in fresh._sessions
        second_run.end()
        await second_task
        assert second.numbers == [1, 2, 3] and second.finished
        await fresh.close()

    play_site(test)


def test_answer_is_for_the_entry_that_sent_the_request():
    async def test(site):
        cut_off, other, third = site.entries
        for entry in (cut_off, third):
            records = (other.record,)
            entry.peers.replace(records)
        caller, task, run = await start_stream(site)
        (handle,) = other.forwards._sessions
        link = await third.links.connect(other.record.address, 1.0)
        for offset in (0, 5):
            part = await link.request(ForwardRead(handle, offset), 1.0)
            assert ForwardState(part.state) is ForwardState.BROKEN
            assert not part.data and not part.status
        link.send(ForwardCancel(handle))
        await asyncio.sleep(1.0)
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2] and caller.finished

    play_site(test, 3)


@pytest.mark.parametrize("lose", WAYS)
def test_caller_that_leaves_after_its_link_was_replaced_ends_the_run(lose):
    async def test(site):
        cut_off, other = site.entries
        _, task, run = await start_stream(site)
        await replace_link(cut_off, lose)
        task.cancel()
        await asyncio.sleep(0.2)
        assert run.closed and not other.forwards._sessions

    play_site(test)


@pytest.mark.parametrize("lose", WAYS)
def test_caller_that_leaves_over_a_silent_link_ends_the_run_in_time(lose):
    async def test(site):
        cut_off, other = site.entries
        _, task, run = await start_stream(site)
        lose(find_link(cut_off))
        task.cancel()
        await asyncio.sleep(ENDED_SECONDS)
        assert run.closed and not other.forwards._sessions

    play_site(test)


def test_answer_that_nobody_reads_ends():
    # Guards against answers that outlive the entry that would read them.
    async def test(site):
        cut_off, other = site.entries
        _, task, run = await start_stream(site)
        link = find_link(cut_off)
        cut_off.links._faults.cut.add("*")
        link._socket.transport.abort()
        await asyncio.sleep(ENDED_SECONDS)
        assert run.closed and not other.forwards._sessions
        await asyncio.wait((task,))

    play_site(test)


@pytest.mark.parametrize("path", ("/plain/a", "/llm/a"))
@pytest.mark.parametrize("lose", WAYS)
def test_start_of_a_request_is_not_repeated(path, lose):
    # Its outcome isn't known: it may have run.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        await cut_off.links.connect(other.record.address, 1.0)
        lose(find_link(cut_off))
        failure = await fail(cut_off.parts, make_request(path))
        assert failure.ran is Ran.UNKNOWN
        assert site.count_sends() == (1 if lose is deafen else 0)
        await asyncio.sleep(ENDED_SECONDS)
        assert not other.forwards._sessions

    play_site(test)


def test_request_is_not_sent_twice_as_its_entry_ends_before_the_head():
    # Guards against a read that was not sent and counts as a request that was
    # not sent.
    async def test(site):
        cut_off, *others = site.entries
        cut_off.cut(*ALL)
        for other in others:
            other.parts.engines.heads.clear()
        task = asyncio.create_task(
            fail(cut_off.parts, make_request("/plain/a"))
        )
        await wait_until(lambda: site.count_sends() == 1)
        await asyncio.sleep(0.2)
        for other in others:
            if other.count_sends():
                other.server._server.close(close_connections=False)
                break_links(other)
        failure = await task
        assert failure.ran is Ran.UNKNOWN
        assert site.count_sends() == 1

    play_site(test, 3)


def test_entry_that_resets_each_link_is_given_up():
    # Guards against connecting again and again while a caller waits.
    async def test(site):
        cut_off, other = site.entries
        caller, task, _ = await start_stream(site)
        reads = []

        async def drop(message, channel):
            reads.append(message)
            channel._socket.transport.abort()

        other.server._handler = drop
        break_links(other)
        await asyncio.wait((task,))
        assert caller.aborted and caller.numbers == [1]
        assert 1 <= sum(isinstance(r, ForwardRead) for r in reads) <= 4

    play_site(test)


@pytest.mark.parametrize("is_sent", (True, False))
def test_late_answer_of_a_replaced_link_is_not_taken_again(is_sent):
    # Guards against bytes that come twice, or out of place.
    async def test(site):
        cut_off, _ = site.entries
        caller, task, run = await start_stream(site)
        held = HeldLink(find_link(cut_off), is_sent)
        run.make(1)
        await caller.wait_events(2)
        run.make(1)
        await caller.wait_events(3)
        held.release()
        run.make(1)
        await caller.wait_events(4)
        run.end()
        await task
        assert caller.numbers == [1, 2, 3, 4] and caller.finished

    play_site(test)


def test_late_answer_of_a_replaced_link_serves_a_read_that_waits():
    async def test(site):
        cut_off, _ = site.entries
        caller, task, run = await start_stream(site)
        held = HeldLink(find_link(cut_off), False)
        connect = cut_off.links._connect

        async def connect_silently(peer):
            channel = await connect(peer)
            silence(channel)
            return channel

        cut_off.links._connect = connect_silently
        link = find_link(cut_off)
        run.make(1)
        await wait_until(lambda: find_link(cut_off) is not link)
        cut_off.links._connect = connect
        await asyncio.sleep(0.1)
        assert caller.numbers == [1]
        held.release()
        await asyncio.sleep(0.1)
        assert caller.numbers == [1, 2]
        run.end()
        await task
        assert caller.finished

    play_site(test)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("event", "half", "mute", "deafen", "hold", "free")),
        st.floats(0.0, 1.5),
    ),
    max_size=14,
)


@settings(max_examples=30, deadline=None)
@given(STEPS)
def test_no_event_is_repeated_or_left_out(steps):
    async def test(site):
        cut_off, other = site.entries
        caller, task, run = await start_stream(site)
        held, rest, losses = [], "", 0
        for kind, seconds in steps:
            link = find_link(cut_off)
            match kind:
                case "event":
                    run.make(0, rest)
                    rest = ""
                    run.make(1)
                case "half" if not rest:
                    run.number += 1
                    event = f"id: {run.number}\ndata: {run.number}\n\n"
                    rest = event[5:]
                    run.make(0, event[:5])
                case "mute":
                    mute(link)
                case "deafen":
                    deafen(link)
                case "hold":
                    held.append(HeldLink(link, losses % 2 == 0))
                case "free" if held:
                    held.pop(0).release()
            losses += kind in ("mute", "deafen", "hold")
            await asyncio.sleep(seconds)
        run.make(0, rest)
        run.make(1)
        run.end()
        await asyncio.wait((task,))
        count = run.number
        assert caller.numbers == list(range(1, len(caller.numbers) + 1))
        assert caller.finished is not caller.aborted
        assert not caller.finished or len(caller.numbers) == count
        if losses <= 1:
            assert caller.finished
        assert site.count_sends() == 1
        await asyncio.sleep(ENDED_SECONDS)
        assert not other.forwards._sessions

    play_site(test)
