"""Tests of the last event's id on its way to another entry."""

import attrs
import pytest

from chivepier.gateway.forwarding.records import pack_request
from chivepier.gateway.forwarding.records import unpack_request
from chivepier.gateway.forwarding.tests.peersite import play_site
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.playedloop import play_time

ALL = ("x", "w-x")
FIRST_NUMBERS = (0, 1, 7)


def count_from(site, first: int) -> None:
    """Have all targets begin their series with a number."""
    for entry in site.entries:
        entry.parts.engines.first_number = first


@pytest.mark.parametrize("first", FIRST_NUMBERS)
@pytest.mark.parametrize("path", ("/llm/a", "/resume/a"))
def test_forwarded_stream_has_its_first_event(path, first):
    # Both entries dropped an event 0.
    async def test(site):
        cut_off, other = site.entries
        count_from(site, first)
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request(path))
        run = await other.parts.engines.wait_run(1)
        run.make(3)
        run.end()
        await task
        assert caller.numbers == [first, first + 1, first + 2]
        assert caller.finished

    play_site(test)


@pytest.mark.parametrize("first", FIRST_NUMBERS)
@pytest.mark.parametrize("events", (0, 1))
def test_rest_of_a_stream_is_asked_for_after_its_last_event(events, first):
    # Another entry was told of an event 0 that no caller had.
    async def test(site):
        cut_off, other = site.entries
        count_from(site, first)
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        run = await cut_off.parts.engines.wait_run(1)
        run.make(events, f"id: {first + events}\nda")
        await caller.wait_events(events)
        await wait_until(lambda: run.is_read)
        cut_off.cut(*ALL)
        run.cut()
        rest = await other.parts.engines.wait_run(1)
        ((_, order),) = other.parts.engines.orders
        assert order.after_event == (str(first) if events else None)
        rest.make(2)
        rest.end()
        await task
        assert caller.numbers == list(range(first, first + events + 2))
        assert caller.finished

    play_site(test)


@pytest.mark.parametrize("first", FIRST_NUMBERS)
@pytest.mark.parametrize("events", (0, 1))
def test_stream_goes_on_after_its_entry_is_lost(events, first):
    # The next entry was told of an event 0 that no caller had.
    async def test(site):
        cut_off, *others = site.entries
        count_from(site, first)
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        await wait_until(lambda: site.count_sends() == 1)
        lost = next(e for e in others if e.count_sends())
        second = next(e for e in others if not e.count_sends())
        run = await lost.parts.engines.wait_run(1)
        run.make(events)
        await caller.wait_events(events)
        await lost.die()
        rest = await second.parts.engines.wait_run(1)
        rest.make(2)
        rest.end()
        await task
        assert caller.numbers == list(range(first, first + events + 2))
        assert caller.finished

    play_site(test, 3)


@pytest.mark.parametrize("version, has_event", (("", False), ("v1", True)))
def test_entries_of_the_last_release_write_0_for_no_event(version, has_event):
    # They name no version then; a stream must not be bound to one.
    async def test():
        request = make_request("/resume/a", software_version=version)
        record = pack_request(request, "e1", 1, 1, 0.0)
        record = attrs.evolve(record, has_last_event=True, last_event="0")
        taken = unpack_request(record, 0.0)
        assert taken.takes_up is has_event
        assert taken.last_event_number == (0 if has_event else None)
        assert taken.last_event == "0"

    play_time(test())


@pytest.mark.parametrize("sent", (None, "", "0", "five"))
def test_id_is_forwarded_word_for_word(sent):
    async def test():
        record = pack_request(make_request(last_event=sent), "e1", 1, 1, 0.0)
        assert unpack_request(record, 0.0).last_event == sent

    play_time(test())
