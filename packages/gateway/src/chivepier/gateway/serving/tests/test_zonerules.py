"""Tests of sends to evacuated zones, cold targets and regions."""

import asyncio

from chivepier.gateway.config import Engine
from chivepier.gateway.config import Service
from chivepier.gateway.config import Team
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.serving.tests.parts import begin
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import fail
from chivepier.gateway.serving.tests.parts import finish
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import make_route
from chivepier.gateway.serving.tests.parts import PLAIN
from chivepier.gateway.serving.tests.parts import play
from chivepier.gateway.serving.tests.parts import REPEATABLE
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time
from chivepier.types import ErrorKind
from chivepier.types import Ran

RESERVING = Engine(
    slots=8,
    memory_tokens=100_000,
    event_tokens=4,
    moves=True,
    reserve_seconds=2.0,
    token_seconds=1e-7,
)
SERVICES = (
    Service(name="llm", connections=10, engine=ENGINE, cold_rate=10.0),
    Service(name="web", connections=10, cold_rate=10.0),
)


def put(parts, name: str, zone: str, service: str = "llm", **fields) -> None:
    """Announce a target in a zone."""
    target = make_target(name, service, zone)
    for field, value in fields.items():
        setattr(target, field, value)
    parts.table.put(target)


def sent_to(parts) -> set[str]:
    """Return the names of all targets that requests were sent to."""
    return {name for name, _ in parts.engines.orders}


def test_nothing_new_goes_to_an_evacuated_zone():
    # After an evacuation, new calls and generations must go to targets in the
    # other zone only.
    async def test(parts):
        for name, zone in (("a1", "a"), ("b1", "b")):
            put(parts, name, zone)
            put(parts, f"w-{name}", zone, "web")
        parts.evacuate("a")
        for _ in range(8):
            _, task, run = await begin(parts, "/llm/x")
            parts.engines.answers.clear()
            await finish(task, run)
        parts.engines.failing["w-b1"] = 200
        for _ in range(8):
            await parts.serve(make_request("/plain/x"))
        assert sent_to(parts) == {"b1", "w-b1"}

    play(test)


def test_no_repeat_goes_to_an_evacuated_zone():
    # The first target breaks the connection, and the only other one is in a
    # zone evacuated meanwhile: the caller must get an error.
    async def test(parts):
        put(parts, "w-a1", "a", "web")
        put(parts, "w-b1", "b", "web")
        parts.engines.disconnecting = {"w-a1", "w-b1"}
        parts.evacuate("b")
        failure = await fail(parts, make_request("/read/x"))
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert sent_to(parts) == {"w-a1"}

    play(test)


def test_caller_is_told_at_once_where_every_zone_is_evacuated():
    # Otherwise callers wait until their deadline for room that no target can
    # provide.
    async def test(parts):
        put(parts, "a1", "a")
        parts.evacuate("a")
        began = tell_time()
        failure = await fail(parts, make_request("/llm/x"))
        assert failure.kind is ErrorKind.NO_TARGET
        assert failure.ran is Ran.NO
        assert "evacuated" in failure.message
        # far below its deadline of 20 s, and below its objective of 1 s
        assert tell_time() - began < 1.0
        assert not parts.engines.orders and not parts.engines.reserved

    play(test, engine=RESERVING)


def test_what_waits_for_room_does_not_go_to_a_zone_evacuated_meanwhile():
    async def test(parts):
        put(parts, "a1", "a")
        parts.engines.full = {"a1"}
        _, task = parts.start(make_request("/llm/x"))
        await wait_until(lambda: parts.queues.list_own())
        parts.evacuate("a")
        parts.engines.full = set()
        parts.engines.reserved.clear()
        put(parts, "b1", "b")
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert sent_to(parts) == {"b1"}
        assert {name for name, _ in parts.engines.reserved} == {"b1"}

    play(test, engine=RESERVING)


def test_reservation_in_a_zone_evacuated_meanwhile_is_not_used():
    # The evacuation comes between the reservation and the send.
    async def test(parts):
        put(parts, "a1", "a")
        reserve = parts.engines.reserve

        async def reserve_late(target, tokens, seconds, contact):
            name = await reserve(target, tokens, seconds, contact)
            if target.zone == "a":
                parts.evacuate("a")
                put(parts, "b1", "b")
            return name

        parts.engines.reserve = reserve_late
        _, task = parts.start(make_request("/llm/x"))
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert sent_to(parts) == {"b1"}

    play(test, engine=RESERVING)


def test_stream_in_an_evacuated_zone_runs_to_its_end():
    # An evacuation concerns new requests only; running streams are not cut.
    async def test(parts):
        put(parts, "a1", "a")
        caller, task, run = await begin(parts)
        parts.evacuate("a")
        await finish(task, run, 3)
        assert caller.finished and caller.numbers == [1, 2, 3, 4, 5]

    play(test)


def test_no_memory_is_copied_to_an_evacuated_zone():
    async def test(parts):
        put(parts, "a1", "a")
        put(parts, "b1", "b")
        parts.evacuate("b")
        _, task, run = await begin(parts)
        parts.leave("a1")
        # a destination is searched every 0.1 s until there is one
        put(parts, "c1", "c")
        await parts.engines.moved.wait()
        await parts.engines.wait_run(2)
        assert {to for _, to, _ in parts.engines.moves} == {"c1"}
        await finish(task, parts.engines.answers[1], 1)

    play(test)


def test_generation_goes_on_at_its_source_where_its_copy_must_not():
    # This entry learns only after the copy that its zone is evacuated. The
    # source was stopped for the migration, but still has the KV cache.
    async def test(parts):
        put(parts, "a1", "a")
        put(parts, "b1", "b")
        caller, task, run = await begin(parts)
        if run.target != "a1":
            parts.leave("b1")
            source, zone = "b1", "a"
        else:
            parts.leave("a1")
            source, zone = "a1", "b"
        long_ago = tell_time() - 60.0
        move = parts.engines.move

        async def move_late(*args):
            if args[3]:
                parts.evacuate(zone)
                known = parts.zones.find_order(zone)
                object.__setattr__(known, "since", long_ago)
            return await move(*args)

        parts.engines.move = move_late
        went_on = await parts.engines.wait_run(2)
        assert went_on.target == source
        await finish(task, went_on, 2)
        assert caller.numbers == [1, 2, 3, 4]

    play(test)


def test_no_probe_goes_to_an_evacuated_zone():
    async def test(parts):
        put(parts, "w-a1", "a", "web")
        parts.engines.disconnecting = {"w-a1"}
        send = parts.engines.send

        async def send_late(*args):
            parts.evacuate("a")
            return await send(*args)

        parts.engines.send = send_late
        await fail(parts, make_request("/plain/x"))
        await asyncio.sleep(0)
        assert not parts.engines.probed

    play(test)


def test_cold_target_gets_nothing_without_a_permit():
    # If entries without a leader send without a permit, together they exceed
    # the rate that a target that has just started can handle.
    async def test(parts):
        parts.configure(version=2, services=SERVICES)
        later = tell_time() + 60.0
        put(parts, "w-cold", "a", "web", warm_at=later)
        parts.permitted = False
        failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.NO_TARGET and failure.ran is Ran.NO
        assert not parts.engines.orders
        # the bound of all entries: 10 per second, times 1.5, plus 5
        assert parts.asked[0] == ("w-cold", 20)
        put(parts, "w-warm", "a", "web")
        parts.engines.failing["w-warm"] = 200
        await parts.serve(make_request("/plain/x"))
        assert sent_to(parts) == {"w-warm"}

    play(test)


def test_requests_do_not_each_wait_for_a_leader_that_does_not_answer():
    # Requests must not each wait for a leader that does not answer: after the
    # first one, the others are rejected without asking it.
    async def test(parts):
        parts.configure(version=2, services=SERVICES)
        later = tell_time() + 60.0
        for name in ("w-1", "w-2", "w-3"):
            put(parts, name, "a", "web", warm_at=later)
        parts.permitted = None
        for _ in range(3):
            failure = await fail(parts, make_request("/plain/x"))
            assert failure.kind is ErrorKind.NO_TARGET
        assert len(parts.asked) == 1

    play(test)


def test_cold_target_is_used_with_a_permit():
    async def test(parts):
        parts.configure(version=2, services=SERVICES)
        later = tell_time() + 60.0
        put(parts, "w-cold", "a", "web", warm_at=later)
        parts.engines.failing["w-cold"] = 200
        await parts.serve(make_request("/plain/x"))
        assert sent_to(parts) == {"w-cold"} and len(parts.asked) == 1

    play(test)


def test_service_without_a_bound_is_not_asked_about():
    async def test(parts):
        later = tell_time() + 60.0
        put(parts, "w-cold", "a", "web", warm_at=later)
        parts.engines.failing["w-cold"] = 200
        parts.permitted = False
        await parts.serve(make_request("/plain/x"))
        assert not parts.asked

    play(test)


def test_targets_of_a_readmitted_zone_count_as_cold_until_they_speak():
    async def test(parts):
        parts.configure(version=2, services=SERVICES)
        before = tell_time() - 0.001
        put(parts, "w-a1", "a", "web", heard=before, announced_at=before)
        parts.engines.failing["w-a1"] = 200
        parts.evacuate("a")
        parts.readmit("a")
        await parts.serve(make_request("/plain/x"))
        assert len(parts.asked) == 1
        later = tell_time() + 0.001
        put(
            parts,
            "w-a1",
            "a",
            "web",
            heard=later,
            announced_at=later,
            number=2,
        )
        await parts.serve(make_request("/plain/x"))
        assert len(parts.asked) == 1

    play(test)


def test_generation_moves_to_a_cold_target_only_with_a_permit():
    async def test(parts):
        parts.configure(version=2, services=SERVICES)
        put(parts, "a1", "a")
        caller, task, run = await begin(parts)
        later = tell_time() + 60.0
        put(parts, "b1", "b", warm_at=later)
        parts.permitted = False
        parts.leave("a1")
        await task
        assert caller.aborted and sent_to(parts) == {"a1"}

    play(test)


def test_route_and_team_both_bind_to_regions():
    # A request must not reach a region that its route or team excludes.
    async def test(parts):
        routes = (
            make_route(regions=frozenset({"north", "south"})),
            PLAIN,
            REPEATABLE,
        )
        team = Team(
            name="t1", keys=("k1",), regions=frozenset({"south", "east"})
        )
        parts.configure(version=2, routes=routes, teams=(team,))
        put(parts, "n1", "a")
        put(parts, "w-n1", "a", "web")
        failure = await fail(parts, make_request("/llm/x"))
        assert failure.kind is ErrorKind.NO_TARGET and failure.ran is Ran.NO
        # the regions of the team apply where the route has none
        failure = await fail(parts, make_request("/plain/x"))
        assert failure.kind is ErrorKind.NO_TARGET
        put(parts, "s1", "c")
        _, task, run = await begin(parts)
        assert run.target == "s1"
        # nor may a move carry it to another region
        put(parts, "n2", "b")
        leaving = make_target("s1", zone="c")
        leaving.state, leaving.number = TargetState.LEAVING, 2
        parts.table.put(leaving)
        await asyncio.sleep(0.3)
        assert not parts.engines.moves
        await finish(task, run, 1)

    play(test)


def test_suspended_entry_updates_evacuations_before_it_sends():
    # An entry that was suspended must not send to a zone that was evacuated
    # meanwhile.
    async def test(parts):
        put(parts, "a1", "a")
        put(parts, "b1", "b")
        parts.freshness._updated_at -= 60.0
        asked = asyncio.Event()
        parts.freshness.request_update = asked.set
        _, task = parts.start(make_request("/llm/x"))
        await asked.wait()
        assert not parts.engines.orders
        parts.evacuate("a")
        parts.freshness.note_update()
        run = await parts.engines.wait_run(1)
        await finish(task, run, 1)
        assert sent_to(parts) == {"b1"}

    play(test)


def test_target_that_turns_cold_before_a_send_gets_it_with_a_permit_only():
    # Guards against requests beyond the limit of a cold target that were
    # placed while it had none, and left after their connection had come late.
    async def test(parts):
        parts.configure(version=2, services=SERVICES)
        put(parts, "w-a1", "a", "web")
        parts.engines.failing["w-a1"] = 200
        connected = parts.engines.hold_connection("w-a1")
        tasks = [parts.start(make_request("/plain/x"))[1] for _ in range(5)]
        await asyncio.sleep(0.05)
        put(parts, "w-a1", "a", "web", number=2, warm_at=tell_time() + 60.0)
        parts.permitted = False
        connected.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert parts.engines.orders == []
        assert parts.asked[0] == ("w-a1", 20)

    play(test)


def test_entry_suspended_before_a_send_updates_what_it_knows():
    # Guards against sends of an entry that stood still after its last look,
    # and has not read yet that the target is cold or its zone evacuated.
    async def test(parts):
        put(parts, "w-a1", "a", "web")
        put(parts, "w-b1", "b", "web")
        parts.engines.failing.update({"w-a1": 200, "w-b1": 200})
        held = [
            parts.engines.hold_connection(name) for name in ("w-a1", "w-b1")
        ]
        _, task = parts.start(make_request("/plain/x"))
        await asyncio.sleep(0.05)
        parts.freshness._updated_at -= 60.0
        asked = asyncio.Event()
        parts.freshness.request_update = asked.set
        for connected in held:
            connected.set()
        await asked.wait()
        assert parts.engines.orders == []
        parts.evacuate("a")
        # an answer from before the suspension
        parts.freshness.note_update(tell_time() - 60.0)
        await asyncio.sleep(0.05)
        assert parts.engines.orders == []
        parts.freshness.note_update(tell_time())
        await task
        assert sent_to(parts) == {"w-b1"}

    play(test)


def test_entry_that_is_cut_off_asks_once_and_goes_on():
    async def test(parts):
        put(parts, "w-a1", "a", "web")
        parts.engines.failing["w-a1"] = 200
        parts.freshness._updated_at -= 60.0
        asked = []
        parts.freshness.request_update = lambda: asked.append(1)
        for _ in range(3):
            await parts.serve(make_request("/plain/x"))
        assert len(asked) == 1 and len(parts.engines.orders) == 3

    play(test)
