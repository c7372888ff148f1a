"""Tests of streams beside targets of several software versions."""

import asyncio

import pytest

from chivepier.gateway.config import Repetition
from chivepier.gateway.origins import Origin
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.serving.errors import UnansweredError
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import make_route
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import seconds_to_retry


def set_versions(parts, **versions: str) -> None:
    """Announce targets with versions of their software, by name."""
    for name, version in versions.items():
        target = make_target(name, software_version=version)
        target.number = 2
        parts.table.put(target)


async def begin_at(parts, name: str, path: str = "/llm/x"):
    """Start a stream at one target, and relay two events."""
    parts.engines.full = {t.instance for t in parts.table} - {name}
    for other in parts.engines.full:
        parts.health.record_unreachable(
            other, parts.dispatcher.clock.monotonic()
        )
    started = await begin(parts, path)
    assert started[2].target == name
    parts.engines.full = set()
    return started


def test_move_goes_to_a_target_of_the_same_version():
    # The copy of a stream went on at another version than wrote it.
    async def test(parts):
        set_versions(parts, a="v1", b="v2", c="v1", d="v2", e="v2")
        caller, task, run = await begin_at(parts, "a")
        parts.leave("a")
        fresh = await parts.engines.wait_run(2)
        assert fresh.target == "c"
        assert {to for _, to, _ in parts.engines.moves} == {"c"}
        await finish(task, fresh, 1)
        assert caller.numbers == [1, 2, 3]

    play(test, *"abcde")


def test_last_target_of_a_version_leaves_with_its_streams():
    # No other version may take them: they end with it, or are broken off.
    async def test(parts):
        set_versions(parts, a="v1", b="v2")
        caller, task, run = await begin_at(parts, "a")
        parts.leave("a")
        run.make(1)
        await caller.wait_events(3)
        run.cut()
        await task
        assert caller.aborted and not caller.finished
        assert parts.engines.moves == []
        assert len(parts.engines.answers) == 1

    play(test, "a", "b")


@pytest.mark.parametrize("others", ({"b": "v2", "c": "v1"}, {"b": "v2"}))
def test_broken_stream_goes_on_at_its_version_only(others):
    # A resumable stream was sent to any target with its last event's number.
    async def test(parts):
        set_versions(parts, a="v1", **others)
        caller, task, run = await begin_at(parts, "a", "/resume/x")
        run.cut()
        if "c" in others:
            fresh = await parts.engines.wait_run(2)
            assert fresh.target == "c"
            await finish(task, fresh, 1)
            assert caller.numbers == [1, 2, 3]
            return
        await task
        assert caller.aborted and not caller.finished
        assert len(parts.engines.answers) == 1

    play(test, "a", *others)


def test_stream_without_an_event_may_begin_anew_at_another_version():
    # Nothing of the first version has reached the caller.
    async def test(parts):
        set_versions(parts, a="v1", b="v2")
        parts.engines.full = {"b", "w-a", "w-b"}
        caller, task = parts.start(make_request("/resume/x"))
        run = await parts.engines.wait_run(1)
        parts.engines.full = set()
        run.cut()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 2)
        assert caller.finished and caller.numbers == [1, 2]

    play(test, "a", "b")


def test_unknown_version_is_not_any_version():
    # A target that tells no version may run any.
    async def test(parts):
        caller, task, run = await begin(parts, "/resume/x")
        other = make_target("z", software_version="")
        parts.table.put(other)
        for name in "ab":
            if name != run.target:
                parts.table.mark_leaving(name, 0, 0.0)
        run.cut()
        await task
        assert caller.aborted
        assert len(parts.engines.answers) == 1

    play(test, "a", "b")


def test_destination_that_started_again_with_other_software_is_refused():
    # A target may start again under its name while a run is copied to it.
    async def test(parts):
        set_versions(parts, a="v1", b="v1")
        caller, task, run = await begin_at(parts, "a")

        def restart():
            fresh = make_target("b", software_version="v2")
            fresh.born = 7
            parts.table.put(fresh)

        parts.engines.on_stop_order(restart)
        parts.leave("a")
        await wait_until(lambda: task.done() or len(parts.engines.answers) > 1)
        assert {answer.target for answer in parts.engines.answers} == {"a"}
        if not task.done():
            await finish(task, parts.engines.answers[-1], 1)

    play(test, "a", "b")


async def begin_and_break(parts, **versions: str):
    """Have a caller get two events of a stream at ``a``, and lose it."""
    set_versions(parts, **versions)
    caller, task, run = await begin_at(parts, "a", "/resume/x")
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def take_up(path: str = "/resume/x", resumes: str | None = "r1", **changes):
    """Return the request of a caller that goes on after its second event."""
    changes = {"id": "r2", "last_event": "2"} | changes
    return make_request(path, resumes=resumes, **changes)


def test_caller_goes_on_at_the_version_that_began_its_stream():
    # A stream that its caller took up was sent to any target.
    async def test(parts):
        await begin_and_break(parts, a="v1", b="v2", c="v1", d="v2")
        for number in range(2, 8):
            caller, task = parts.start(take_up())
            run = await parts.engines.wait_run(number)
            assert run.target in ("a", "c")
            await finish(task, run, 1)
            assert caller.numbers == [3] and caller.finished
        lines = parts.read_lines("stream_taken_up")
        assert {(x["source"], x["software"]) for x in lines} == {("own", "v1")}

    play(test, *"abcd")


@pytest.mark.parametrize(
    "request_of",
    [
        lambda: take_up(resumes="never-sent"),
        lambda: take_up(resumes=None, body=b"other"),
        lambda: take_up(resumes=None, key="k2"),
        lambda: take_up(key="k2"),
    ],
    ids=("made-up", "other-request", "other-team-unnamed", "other-team"),
)
def test_stream_of_unknown_origin_is_refused_beside_two_versions(request_of):
    # Not known is not any: a wrong guess would join what does not fit.
    async def test(parts):
        teams = (parts.make_team("t1", "k1"), parts.make_team("t2", "k2"))
        parts.configure(version=2, teams=teams)
        await begin_and_break(parts, a="v1", b="v2")
        failure = await fail(parts, request_of())
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert len(parts.engines.answers) == 1
        (line,) = parts.read_lines("stream_taken_up")
        assert line["source"] == "unknown"

    play(test, "a", "b")


def test_stream_of_unknown_origin_goes_on_where_all_run_one_version():
    # Nothing but that version can have begun it.
    async def test(parts):
        caller, task = parts.start(take_up(resumes="elsewhere"))
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert caller.numbers == [3] and caller.finished
        (line,) = parts.read_lines("stream_taken_up")
        assert line["source"] == "only"

    play(test, "a", "b")


def test_version_that_has_just_gone_may_have_begun_a_stream():
    # A stream of a version whose last target is gone must not go on at others.
    async def test(parts):
        set_versions(parts, a="v1", b="v2")
        gone = make_target("a", software_version="v1")
        gone.number, gone.state = 9, TargetState.GONE
        parts.table.put(gone)
        failure = await fail(parts, take_up(resumes="elsewhere"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)

    play(test, "a", "b")


def test_voters_know_of_a_version_that_the_targets_have_forgotten():
    # A caller may return when no target of its version is remembered.
    async def test(parts):
        origin = Origin(OriginKey("t1", "r1"), "llm", "v0", 0.0, 1e9)

        async def ask(key):
            return origin if key == origin.key else None

        parts.dispatcher.continuations.ask = ask
        failure = await fail(parts, take_up())
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        (line,) = parts.read_lines("stream_taken_up")
        assert (line["source"], line["software"]) == ("told", "v0")
        assert parts.engines.answers == []

    play(test, "a", "b")


def test_entry_that_may_have_missed_a_version_guesses_none():
    # An entry that hears few voters may not know of the newest targets.
    async def test(parts):
        async def confirm(seconds):
            # its caller may have waited for as long as the route lets it
            assert seconds > make_route().timeout
            return False

        parts.dispatcher.continuations.confirm = confirm
        failure = await fail(parts, take_up(resumes="elsewhere"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert seconds_to_retry(failure) == 0.5

    play(test, "a", "b")


@pytest.mark.parametrize("answered", (True, False))
def test_one_version_counts_only_once_voters_have_been_heard(answered):
    # An entry that was out of step took the old version for the only one.
    async def test(parts):
        async def confirm(seconds) -> bool:
            if answered:
                set_versions(parts, b="v2")
            return answered

        parts.dispatcher.continuations.confirm = confirm
        failure = await fail(parts, take_up(resumes="elsewhere"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert parts.engines.answers == []
        (line,) = parts.read_lines("stream_taken_up")
        assert line["source"] == ("unknown" if answered else "unheard")
        assert answered or seconds_to_retry(failure) == 0.5

    play(test, "a")


def test_silence_of_voters_is_not_taken_for_not_known():
    # They may know that another version began the stream, now gone here.
    async def test(parts):
        async def ask(key):
            raise UnansweredError

        parts.dispatcher.continuations.ask = ask
        failure = await fail(parts, take_up(resumes="elsewhere"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert seconds_to_retry(failure) == 0.5
        assert parts.engines.answers == []

    play(test, "a", "b")


def test_streams_go_on_at_once_where_their_origin_is_known():
    # What is known needs no voter that answers, and no time.
    async def test(parts):
        async def confirm(seconds) -> bool:
            raise AssertionError

        parts.dispatcher.continuations.confirm = confirm
        await begin_and_break(parts, a="v1", b="v1")
        caller, task = parts.start(take_up())
        run = await parts.engines.wait_run(2)
        await finish(task, run, 1)
        assert caller.numbers == [3]

    play(test, "a", "b")


def test_id_of_two_streams_at_different_versions_names_neither():
    # Callers choose the ids, and may use one again.
    async def test(parts):
        await begin_and_break(parts, a="v1", b="v2")
        parts.engines.full = {"a"}
        parts.table.mark_leaving("a", 0, 0.0)
        caller, task = parts.start(make_request("/resume/x"))
        run = await parts.engines.wait_run(2)
        assert run.target == "b"
        await finish(task, run, 1)
        failure = await fail(parts, take_up())
        assert failure.kind is ErrorKind.NO_TARGET

    play(test, "a", "b")


def test_stream_without_a_target_of_its_version_is_refused_at_once():
    # It was refused after rounds over targets that it may not use.
    async def test(parts):
        await begin_and_break(parts, a="v1", b="v2")
        parts.table.mark_leaving("a", 0, 0.0)
        began = tell_time()
        failure = await fail(parts, take_up())
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert tell_time() - began < 0.01
        assert len(parts.engines.answers) == 1

    play(test, "a", "b")


def test_stream_goes_on_at_the_service_that_began_it():
    # A route may draw another of its services for each attempt.
    async def test(parts):
        pools = (("llm", 0.0), ("web", 1.0))
        await begin_and_break(parts, a="v1", b="v2")
        route = make_route(
            prefix="/resume/",
            repetition=Repetition.RESUMABLE,
            attempts=2,
            pools=pools,
        )
        parts.configure(version=2, routes=(route,))
        caller, task = parts.start(take_up())
        run = await parts.engines.wait_run(2)
        assert run.target == "a"
        await finish(task, run, 1)

    play(test, "a", "b")


def test_stream_taken_up_that_breaks_at_once_goes_on_after_the_last_event():
    # It was run from its beginning, and its caller got the same events twice.
    async def test(parts):
        caller, task = parts.start(take_up(resumes="elsewhere"))
        run = await parts.engines.wait_run(1)
        run.make(0, "id: 3\nda")
        run.cut()
        fresh = await parts.engines.wait_run(2)
        await finish(task, fresh, 1)
        assert caller.numbers == [3] and caller.finished

    play(test, "a", "b")


def test_stream_goes_on_though_its_caller_does_not_name_the_attempt():
    # All such callers were refused, at each entry, beside two versions.
    async def test(parts):
        await begin_and_break(parts, a="v1", b="v2", c="v1", d="v2")
        for number in range(2, 8):
            request = take_up(resumes=None, id=f"r{number}")
            caller, task = parts.start(request)
            run = await parts.engines.wait_run(number)
            assert run.target in ("a", "c")
            await finish(task, run, 1)
            assert caller.numbers == [3] and caller.finished

    play(test, *"abcd")


def test_same_request_begun_at_two_versions_goes_on_nowhere_unnamed():
    # Which of the two its caller has is not known.
    async def test(parts):
        await begin_and_break(parts, a="v1", b="v2", c="v1")
        parts.engines.full = {"a", "c"}
        for name in "ac":
            parts.table.mark_leaving(name, 0, 0.0)
        caller, task = parts.start(make_request("/resume/x", id="other"))
        run = await parts.engines.wait_run(2)
        assert run.target == "b"
        await finish(task, run, 1)
        failure = await fail(parts, take_up(resumes=None))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        (line,) = parts.read_lines("stream_taken_up")
        assert line["software"] == ""

    play(test, *"abc")


def test_request_is_kept_for_as_long_as_its_caller_waits():
    # Later requests that are the same would find two versions.
    async def test(parts):
        set_versions(parts, a="v1", b="v2")
        caller, task, run = await begin_at(parts, "a", "/resume/x")
        await finish(task, run, 1)
        now = tell_time()
        kept = {origin.expires_at - now for origin in list_requests(parts)}
        assert len(kept) == 1 and max(kept) <= 20.0

    def list_requests(parts):
        for origin in parts.dispatcher.continuations.origins:
            if origin.key.attempt.startswith("\n"):
                yield origin

    play(test, "a", "b")


def test_stream_of_unknown_origin_is_not_taken_for_the_drawn_service():
    # What two services write fits together as little as two versions do.
    async def test(parts):
        route = make_route(
            prefix="/resume/",
            repetition=Repetition.RESUMABLE,
            attempts=2,
            pools=(("llm", 1.0), ("web", 1.0)),
        )
        parts.configure(version=2, routes=(route,))
        told = []
        parts.dispatcher.continuations.publish = lambda *args: told.append(
            args
        )
        failure = await fail(parts, take_up(resumes="elsewhere"))
        assert (failure.kind, failure.ran) == (ErrorKind.NO_TARGET, Ran.NO)
        assert parts.engines.answers == []
        caller, task, run = await begin(parts, "/resume/x")
        await finish(task, run, 1)
        assert told and all(always for _, always in told)

    play(test, "a", "b")


def test_no_event_reaches_a_caller_before_its_stream_is_known():
    # Killed right after it, an entry had told nobody where it began.
    async def test(parts):
        known = asyncio.Event()

        async def hold(*keys):
            await known.wait()

        parts.dispatcher.continuations.hold = hold
        caller, task = parts.start(make_request("/resume/x"))
        run = await parts.engines.wait_run(1)
        run.make(2)
        await asyncio.sleep(0.1)
        assert caller.status is None and caller.numbers == []
        known.set()
        await caller.wait_events(2)
        await finish(task, run, 1)
        assert caller.numbers == [1, 2, 3]

    play(test, "a", "b")
