"""Tests of streams beside targets of several software versions."""

import pytest

from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import wait_until


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
