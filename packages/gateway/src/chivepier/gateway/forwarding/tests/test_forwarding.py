"""Tests of requests that one entry has another one serve."""

import asyncio

import pytest

from chivepier.gateway.forwarding.tests.peersite import play_site
from chivepier.gateway.limits import RateLimit
from chivepier.gateway.permits import SendDecision
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.gateway.serving.tests.test_backoffs import record_backoff
from chivepier.standins.onewaylink import deafen
from chivepier.standins.onewaylink import mute
from chivepier.types import ErrorKind
from chivepier.types import Ran

ALL = ("x", "w-x")
TARGETS = ("w-x", "w-y", "w-z")


def answer(
    entry, body: bytes = b"whole", status: int = 200, headers=()
) -> None:
    """Have the targets of an entry answer plain requests at once."""
    send = entry.parts.engines.send

    async def send_and_end(*args):
        run = await send(*args)
        run.status = status
        run.headers += headers
        run._queue.put_nowait(body)
        run.end()
        return run

    entry.parts.engines.send = send_and_end


def test_plain_request_is_answered_through_another_entry():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        answer(other, b"z" * (1 << 20))
        request = make_request("/plain/a", headers=(("A", "1"), ("A", "2")))
        caller = await cut_off.parts.serve(request)
        assert caller.status == 200 and caller.finished
        assert caller.headers == (("X-From", "engine"),)
        assert caller.data == b"z" * (1 << 20)
        assert other.count_sends() == 1 and cut_off.count_sends() == 0
        _, options = other.parts.engines.orders[0]
        assert options.team == "t1"
        assert 19.0 < options.seconds <= 20.0
        (line,) = cut_off.parts.read_lines("request_forwarded")
        assert (line["id"], line["peer"]) == ("r1", "e1")
        await wait_until(lambda: other.parts.read_lines("forward_ended"))

    play_site(test)


def test_service_in_reach_is_served_here_while_another_is_cut_off():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut("x")
        answer(cut_off)
        await cut_off.parts.serve(make_request("/plain/a"))
        assert cut_off.count_sends() == 1 and other.count_sends() == 0

    play_site(test)


def test_requests_are_served_behind_a_cut_beside_targets_that_rest():
    # A target that had asked for rest over an open connection was not tried,
    # so that the entry was not cut off by its own judgement: 0 of 32 served.
    async def test(site):
        cut_off, other = site.entries
        record_backoff(cut_off.parts, "w-y", seconds=8.0)
        cut_off.cut("w-x", "w-y", "w-z")
        answer(other)
        for _ in range(3):
            caller = await cut_off.parts.serve(make_request("/plain/a"))
            assert caller.status == 200
        assert other.count_sends() == 3 and cut_off.count_sends() == 0

    play_site(test, targets=("x", "y", "z"))


def test_requests_are_served_behind_a_cut_beside_targets_that_name_limits():
    # An entry that got a turn each few seconds used up those of others at
    # links that failed: 0 of 1130 first tries served.
    async def test(site):
        cut_off, other = site.entries
        engines = cut_off.parts.engines
        for entry in site.entries:
            entry.parts.engines.facts = AnswerFacts(limit=RateLimit(0.2))
            for name in TARGETS:
                entry.parts.announce_limit(name, 0.2)
        cut_off.cut(*TARGETS)
        engines.ended |= set(TARGETS)
        answer(other)
        send = engines.send

        async def use_up_turn(*args):
            cut_off.parts.decision = SendDecision(False, 2.0)
            return await send(*args)

        engines.send = use_up_turn
        prober = cut_off.make_prober()
        task = asyncio.create_task(prober.run())
        failure = await fail(cut_off.parts, make_request("/plain/a"))
        assert (failure.kind, failure.ran) == (ErrorKind.OVERLOADED, Ran.NO)
        await asyncio.sleep(0.5)
        for _ in range(3):
            caller = await cut_off.parts.serve(make_request("/plain/a"))
            assert caller.status == 200
        assert other.count_sends() == 3
        task.cancel()

    play_site(test, targets=("x", "y", "z"))


def test_generation_does_not_wait_for_room_behind_a_cut():
    # Requests with a reservation were tried again for three objectives, and
    # then refused.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request())
        run = await other.parts.engines.wait_run(1)
        run.make(30)
        run.end()
        await task
        assert caller.numbers == list(range(1, 31)) and caller.finished
        for load in cut_off.parts.loads.list_own():
            assert not (load.runs or load.tokens or load.avoiding)

    play_site(test)


def test_events_arrive_one_by_one():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request())
        run = await other.parts.engines.wait_run(1)
        for number in range(1, 6):
            run.make(1)
            await caller.wait_events(number)
            await asyncio.sleep(3.0)
        run.end()
        await task
        assert caller.finished

    play_site(test)


def test_forwarded_request_is_not_forwarded_again():
    # Two entries that each think the other one well must not form a ring.
    async def test(site):
        for entry in site.entries:
            entry.cut(*ALL)
        failure = await fail(site.entries[0].parts, make_request("/plain/a"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        for entry in site.entries[1:]:
            assert entry.parts.read_lines("request_forwarded") == []
        assert site.count_sends() == 0

    play_site(test, 3)


def test_next_entry_takes_what_the_first_can_not():
    async def test(site):
        site.entries[0].cut(*ALL)
        site.entries[1].cut(*ALL)
        site.entries[2].leaving = True
        answer(site.entries[3])
        for _ in range(5):
            caller = await site.entries[0].parts.serve(
                make_request("/plain/a")
            )
            assert caller.status == 200

    play_site(test, 4)


def test_full_targets_are_not_asked_by_entry_after_entry():
    # Each entry asks all targets three times: eight entries would ask full
    # ones twenty-four times for one request.
    async def test(site):
        cut_off, *others = site.entries
        cut_off.cut(*ALL)
        for other in others:
            other.parts.engines.refuse.add("w-x")
        failure = await fail(cut_off.parts, make_request("/plain/a"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert sum(bool(other.count_sends()) for other in others) == 2

    play_site(test, 6)


def test_failure_of_the_target_reaches_the_caller_unchanged():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        answer(other, b"bad", 500)
        caller = await cut_off.parts.serve(make_request("/plain/a"))
        assert (caller.status, caller.data) == (500, b"bad")

    play_site(test)


def test_refusal_of_the_other_entry_reaches_the_caller():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.disconnecting.add("w-x")
        failure = await fail(cut_off.parts, make_request("/plain/a"))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert other.count_sends() == 1

    play_site(test)


def test_older_configuration_does_not_serve_a_forwarded_request():
    # A request was accepted by a version that the other entry did not know.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        cut_off.parts.configure(version=2)
        answer(other)
        failure = await fail(cut_off.parts, make_request("/plain/a"))
        assert failure.kind is ErrorKind.NO_TARGET and failure.ran is Ran.NO
        assert other.count_sends() == 0
        asyncio.get_running_loop().call_later(
            0.1, lambda: other.parts.configure(version=2)
        )
        await asyncio.sleep(1.5)
        caller = await cut_off.parts.serve(make_request("/plain/a"))
        assert caller.status == 200

    play_site(test)


def test_caller_that_leaves_ends_the_run_at_the_other_entry():
    # Targets worked on for callers that had gone.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request())
        run = await other.parts.engines.wait_run(1)
        run.make(3)
        await caller.wait_events(3)
        task.cancel()
        await asyncio.sleep(0.2)
        assert run.closed
        assert other.parts.serving.active == 0

    play_site(test)


@pytest.mark.parametrize("path", ("/plain/a", "/llm/a"))
def test_request_that_may_run_once_is_lost_with_the_other_entry(path):
    # It may have run there, so it must not be sent again.
    async def test(site):
        cut_off, *others = site.entries
        cut_off.cut(*ALL)
        for other in others:
            other.parts.engines.heads.clear()
        task = asyncio.create_task(fail(cut_off.parts, make_request(path)))
        await wait_until(lambda: site.count_sends() == 1)
        for other in others:
            if other.count_sends():
                await other.die()
        failure = await task
        assert failure.ran is Ran.UNKNOWN
        assert site.count_sends() == 1

    play_site(test, 3)


def test_repeatable_request_is_sent_again_when_the_other_entry_is_lost():
    async def test(site):
        cut_off, *others = site.entries
        cut_off.cut(*ALL)
        for other in others:
            other.parts.engines.heads.clear()
        _, task = cut_off.parts.start(make_request("/read/a"))
        await wait_until(lambda: site.count_sends() == 1)
        first = next(e for e in others if e.count_sends())
        second = next(e for e in others if not e.count_sends())
        answer(second)
        second.parts.engines.heads.set()
        await first.die()
        await task
        assert second.count_sends() == 1

    play_site(test, 3)


def test_resumable_stream_goes_on_after_the_other_entry_is_lost():
    async def test(site):
        cut_off, *others = site.entries
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        await wait_until(lambda: site.count_sends() == 1)
        first = next(e for e in others if e.count_sends())
        second = next(e for e in others if not e.count_sends())
        run = await first.parts.engines.wait_run(1)
        run.make(4)
        await caller.wait_events(4)
        await first.die()
        rest = await second.parts.engines.wait_run(1)
        assert rest.number == 4
        rest.make(3)
        rest.end()
        await task
        assert caller.numbers == [1, 2, 3, 4, 5, 6, 7] and caller.finished

    play_site(test, 3)


def test_resumable_stream_goes_on_elsewhere_when_its_target_is_cut_off():
    # An open connection fell silent with the cut, and every target that could
    # have continued the stream was behind it.
    async def test(site):
        cut_off, other = site.entries
        caller, task = cut_off.parts.start(make_request("/resume/a"))
        run = await cut_off.parts.engines.wait_run(1)
        run.make(4)
        await caller.wait_events(4)
        cut_off.cut(*ALL)
        run.cut()
        rest = await other.parts.engines.wait_run(1)
        rest.make(2)
        rest.end()
        await task
        assert caller.numbers == [1, 2, 3, 4, 5, 6] and caller.finished

    play_site(test)


def test_stream_taken_up_goes_on_elsewhere_after_its_last_event():
    # The other entry was told that the caller has no event, and any version.
    async def test(site):
        cut_off, other = site.entries
        request = make_request(
            "/resume/a", id="r2", last_event="2", resumes="r1"
        )
        caller, task = cut_off.parts.start(request)
        run = await cut_off.parts.engines.wait_run(1)
        run.make(0, "id: 3\nda")
        await asyncio.sleep(0.1)
        cut_off.cut(*ALL)
        run.cut()
        rest = await other.parts.engines.wait_run(1)
        assert rest.number == 2
        rest.make(2)
        rest.end()
        await task
        assert caller.numbers == [3, 4] and caller.finished
        # found by the first entry, and not asked for again
        assert other.parts.read_lines("stream_taken_up") == []

    play_site(test)


@pytest.mark.parametrize("framed", (True, False))
def test_answer_broken_off_at_the_target_does_not_look_complete(framed):
    # Without a length, only an event that is unfinished shows it.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.facts = AnswerFacts(framed=framed)
        caller, task = cut_off.parts.start(make_request())
        run = await other.parts.engines.wait_run(1)
        run.make(3)
        await caller.wait_events(3)
        if framed:
            run.cut()
        else:
            run.make(0, "id: 4\nda")
            run.end()
        await task
        assert caller.numbers == [1, 2, 3]
        assert caller.aborted and not caller.finished

    play_site(test)


@pytest.mark.parametrize("status", (0, 99, 600))
@pytest.mark.parametrize("path", ("/plain/a", "/read/a", "/llm/a"))
def test_forwarded_answer_without_a_status_is_none(path, status):
    # Entries of the release before handed on any three digits, 000 too.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        for name in ALL:
            other.parts.engines.failing[name] = status
        failure = await fail(cut_off.parts, make_request(path))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN

    play_site(test)


def test_attempts_count_over_both_entries():
    # A request that was lost at a target here may be sent once more in all.
    async def test(site):
        cut_off, other = site.entries
        cut_off.parts.engines.disconnecting.add("w-x")
        other.parts.engines.disconnecting.add("w-x")
        task = asyncio.create_task(
            fail(cut_off.parts, make_request("/read/a"))
        )
        await wait_until(lambda: cut_off.count_sends() == 1)
        cut_off.cut(*ALL)
        failure = await task
        assert failure.ran is Ran.UNKNOWN
        assert site.count_sends() == 2

    play_site(test)


def test_rest_of_a_forwarded_stream_is_not_forwarded_again():
    # Entries passed the rest of a stream to each other, in a ring.
    async def test(site):
        asked, first, _ = site.entries
        asked.cut(*ALL)
        caller, task = asked.parts.start(make_request("/resume/x"))
        while not any(e.parts.engines.answers for e in site.entries):
            await asyncio.sleep(0.01)
        (serving,) = [e for e in site.entries if e.parts.engines.answers]
        run = serving.parts.engines.answers[0]
        run.make(2)
        await caller.wait_events(2)
        serving.parts.engines.full = set(ALL)
        serving.parts.engines.refuse = set(ALL)
        run.cut()
        (last,) = [e for e in site.entries if e not in (asked, serving)]
        ends = last.parts.engines.answers
        await wait_until(lambda: task.done() or ends)
        if ends:
            ends[0].make(1)
            ends[0].end()
        await task
        # the entry that was asked may ask either of the others
        assert caller.numbers == [1, 2] + [3] * caller.finished
        assert caller.finished is bool(ends)
        assert serving.parts.read_lines("request_forwarded") == []
        assert len(asked.parts.read_lines("request_forwarded")) == 2

    play_site(test, 3)


def test_large_bodies_are_refused_where_they_find_no_memory():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.bodies.max_bytes = 1000
        answer(other)
        request = make_request("/plain/a", body=b"x" * 2000)
        failure = await fail(cut_off.parts, request)
        assert failure.kind is ErrorKind.OVERLOADED and failure.ran is Ran.NO
        assert other.bodies.used_bytes == 0

    play_site(test)


def test_answers_are_kept_apart():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        send = other.parts.engines.send

        async def echo(target, request, *args):
            run = await send(target, request, *args)
            await asyncio.sleep(len(request.id) % 3)
            run._queue.put_nowait(request.id.encode() * 50_000)
            run.end()
            return run

        other.parts.engines.send = echo
        names = [f"r{number}" for number in range(5, 25)]
        callers = await asyncio.gather(
            *(
                cut_off.parts.serve(make_request("/plain/a", id=name))
                for name in names
            )
        )
        for name, caller in zip(names, callers):
            assert caller.data == name.encode() * 50_000

    play_site(test)


def test_facts_of_an_answer_stay_with_the_entry_that_heard_them():
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.facts = AnswerFacts(leaving=True)
        answer(other)
        await cut_off.parts.serve(make_request("/plain/a"))
        assert other.parts.table.is_leaving("w-x")
        assert not cut_off.parts.table.is_leaving("w-x")

    play_site(test)


@pytest.mark.parametrize("lose", (mute, deafen))
def test_answer_is_read_over_the_link_that_replaces_a_silent_one(lose):
    # Guards against losing an answer with one connection between two entries
    # that are well, and reach each other over a new one.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        caller, task = cut_off.parts.start(make_request())
        run = await other.parts.engines.wait_run(1)
        run.make(1)
        await caller.wait_events(1)
        (link,) = cut_off.links._channels.values()
        lose(link)
        await asyncio.sleep(4.0)
        run.make(1)
        run.end()
        await task
        assert caller.numbers == [1, 2] and caller.finished

    play_site(test)


def test_header_without_an_encoding_keeps_peers_for_others():
    # Guards against requests without an entry to forward them to, after a
    # caller has sent a header with a byte that is no UTF-8.
    async def test(site):
        cut_off, *others = site.entries
        cut_off.cut(*ALL)
        for other in others:
            answer(other)
        odd = make_request("/plain/a", headers=(("A", "x\udcff"),))
        first = asyncio.gather(
            cut_off.parts.serve(odd), return_exceptions=True
        )
        await asyncio.sleep(0.1)
        caller = await cut_off.parts.serve(make_request("/plain/a", id="r2"))
        assert caller.status == 200
        assert (await first)[0].status == 200

    play_site(test, 3)


def test_answer_without_an_encoding_is_forwarded():
    # Guards against an answer that is broken off, and a peer that is avoided,
    # for a header of a target with a byte that is no UTF-8.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        answer(other, headers=(("A", "x\udcff"),))
        caller = await cut_off.parts.serve(make_request("/plain/a"))
        assert caller.status == 200

    play_site(test)


def test_framing_of_another_entry_earns_no_checks_of_ends():
    # Each forwarded stream counted as one that its target had framed.
    async def test(site):
        cut_off, other = site.entries
        cut_off.cut(*ALL)
        other.parts.engines.facts = AnswerFacts(framed=False)
        for number in range(10):
            request = make_request("/resume/x", id=f"r{number}")
            caller, task = cut_off.parts.start(request)
            run = await other.parts.engines.wait_run(number + 1)
            run.make(1)
            run.end()
            await task
            assert caller.finished
        checks = cut_off.parts.dispatcher.confirmations
        assert checks.take("llm") and not checks.take("llm")

    play_site(test)
