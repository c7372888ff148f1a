"""Tests of voters and entries one part of which fails once."""

import asyncio
import typing

import attrs
import pytest

from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.control.tests.test_absentvoters import list_voters
from chivepier.gateway.control.tests.test_replacements import CATCH_UP_SECONDS
from chivepier.gateway.control.tests.test_replacements import choose_voter
from chivepier.gateway.control.tests.test_replacements import TOUCH_SECONDS
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.standins.loopclock import tell_time

# More than there are voters, each of which an entry has a task for.
FAILURES = 5
ERRORS = (RuntimeError("unexpected"), asyncio.CancelledError())


def fail_for_now(
    owner: typing.Any, name: str, error: BaseException, times: int = 1
) -> list:
    """Let a method raise some times; return a list with these failures."""
    original, failures = getattr(owner, name), []

    def fail(*args):
        if len(failures) == times:
            return original(*args)
        failures.append(error)
        raise error

    setattr(owner, name, fail)
    return failures


def make_target(**fields) -> Target:
    """Make the announcement of a target."""
    target = Target(
        instance="i-1",
        service="s",
        address="10.0.0.9:80",
        zone="z0",
        state=TargetState.READY,
        number=1,
        slots=1,
        heard=tell_time(),
    )
    return attrs.evolve(target, **fields)


def fail_at_all(fleet, path: str, error: BaseException) -> list[list]:
    """Let a method of a part of each voter raise once."""
    found = []
    for voter in fleet.voters.values():
        *parts, name = path.split(".")
        owner = voter
        for part in parts:
            owner = getattr(owner, part)
        found.append(fail_for_now(owner, name, error))
    return found


@pytest.mark.parametrize("error", ERRORS, ids=type)
def test_failed_check_of_the_seats_costs_no_vote(tmp_path, error):
    # Guards against voters that give and ask for no vote any more.
    async def test(fleet):
        await fleet.write(3, "kept")
        failures = fail_at_all(fleet, "membership._check_membership", error)
        await wait_until(lambda: all(failures))
        fresh = fleet.make_address()
        await fleet.start(fresh)
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert fresh in list_voters(fleet)

    play(test, tmp_path, 3)


@pytest.mark.parametrize("error", ERRORS, ids=type)
def test_failed_push_costs_no_later_one(tmp_path, error):
    # Guards against versions that entries hear of only by their beats.
    async def test(fleet):
        await fleet.write(3, "kept")
        failures = fail_at_all(fleet, "orders.apply_committed", error)
        await wait_until(lambda: all(failures))
        await asyncio.sleep(TOUCH_SECONDS)
        await fleet.write(4, "after")
        await asyncio.sleep(TOUCH_SECONDS)
        for voter in fleet.voters.values():
            assert voter._pushed_version == 4

    play(test, tmp_path, 3)


@pytest.mark.parametrize("error", ERRORS, ids=type)
def test_failed_exchange_of_targets_costs_no_later_one(tmp_path, error):
    # Guards against voters that forget targets that tell others alone.
    async def test(fleet):
        first, second, _ = fleet.voters.values()
        failures = fail_at_all(fleet, "registry.sync_peers", error)
        for number in range(1, 40):
            first.registry.announce(make_target(number=number))
            await asyncio.sleep(1.0)
        assert all(failures)
        assert second.table.get("i-1").heard > tell_time() - CATCH_UP_SECONDS

    play(test, tmp_path, 3)


@pytest.mark.parametrize("error", ERRORS, ids=type)
def test_failed_expiry_costs_no_later_one(tmp_path, error):
    # Guards against a memory that grows to the end of the process.
    async def test(fleet):
        failures = fail_at_all(fleet, "entries.expire", error)
        await wait_until(lambda: all(failures))
        voter, *_ = fleet.voters.values()
        expired = []
        expire = voter.entries.expire
        voter.entries.expire = lambda: expired.append(expire())
        await wait_until(lambda: expired)

    play(test, tmp_path, 3)


@pytest.mark.parametrize("error", ERRORS, ids=type)
def test_failed_digest_of_loads_leaves_voters_in_reach(tmp_path, error):
    # Guards against a voter that others take for out of reach for good.
    async def test(fleet):
        await wait_until(fleet.find_leader)
        failures = fail_at_all(fleet, "loads.publish", error)
        await wait_until(lambda: all(failures))
        await asyncio.sleep(CATCH_UP_SECONDS)
        for voter in fleet.voters.values():
            assert len(voter.loads.find_reachable_voters()) == 3

    play(test, tmp_path, 3)


@pytest.mark.parametrize("error", ERRORS, ids=type)
def test_failed_save_of_the_state_is_made_good(tmp_path, error):
    # Guards against an older configuration after the end of all processes.
    async def test(fleet):
        await wait_until(fleet.find_leader)
        failures = fail_at_all(fleet, "_state_cache._pack", error)
        await fleet.write(3, "kept")
        await wait_until(lambda: all(failures))
        await asyncio.sleep(CATCH_UP_SECONDS)
        address = await choose_voter(fleet, leads=False)
        await fleet.stop(address)
        voter = await fleet.start(address)
        assert voter.store.find_committed().version == 3

    play(test, tmp_path, 3)


@pytest.mark.parametrize("error", ERRORS, ids=type)
@pytest.mark.parametrize(
    "path",
    (
        "following._send_beat",
        "following._configs._fetch",
        "following._currency.report",
        "following._handle_answer",
    ),
)
def test_failed_part_of_an_entry_costs_it_no_version(tmp_path, path, error):
    # Guards against an entry that stays at its version for good.
    async def test(fleet):
        await fleet.write(3, "kept")
        (follower,) = await fleet.follow_many(1)
        await wait_until(lambda: follower.state.index is not None)
        *parts, name = path.split(".")
        owner = follower
        for part in parts:
            owner = getattr(owner, part)
        failures = fail_for_now(owner, name, error, FAILURES)
        await fleet.write(4, "beside")
        follower.drop_pushes()
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert len(failures) == FAILURES
        fresh = fleet.make_address()
        await fleet.start(fresh)
        await fleet.write(5, "after")
        await asyncio.sleep(CATCH_UP_SECONDS)
        assert follower.state.index.version == 5
        assert follower.following._voters[fresh].alive

    play(test, tmp_path, 3)
