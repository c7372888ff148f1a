"""Tests of what a voter says of a request that no leader answered."""

import asyncio
import contextlib

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.state.testing import RefusingDisk

# Seconds after which two voters of three that take no part cost the third
# the lead, and a second election.
FORGOTTEN_SECONDS = 4.0
# Characters of a line that a record keeps, less what every line begins with.
KEPT_CHARS = 100


@contextlib.asynccontextmanager
async def stopped(fleet: Fleet, addresses: list[str]):
    """Stop the voters by an error of their own."""
    for address in addresses:
        fleet.voters[address].replica._core.fail(ValueError("odd"))
    yield


@contextlib.asynccontextmanager
async def refused(fleet: Fleet, addresses: list[str]):
    """Let the voters' disks refuse writes."""
    with contextlib.ExitStack() as stack:
        for address in addresses:
            folder = fleet.find_folder(address)
            stack.enter_context(RefusingDisk(folder)).refuse()
        yield


@contextlib.asynccontextmanager
async def stalled(fleet: Fleet, addresses: list[str]):
    """Let writes of the voters' disks wait."""
    with contextlib.ExitStack() as stack:
        for address in addresses:
            stack.enter_context(fleet.stall_disk(address))
        yield


@contextlib.asynccontextmanager
async def cut(fleet: Fleet, addresses: list[str]):
    """Cut the voters off."""
    for address in addresses:
        fleet.cut(address)
    yield


@pytest.mark.parametrize(
    "trouble, field",
    (
        (stopped, "stopped"),
        (refused, "refused_ms"),
        (stalled, "lock_ms"),
        (cut, "stood_ms"),
    ),
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_lost_write_says_first_why_its_voter_has_no_part(
    tmp_path, trouble, field
):
    # Guards against records of lost writes in which voters that stopped, full
    # disks, writes that hang and cut links look alike.
    lines: list[dict] = []

    async def test(fleet: Fleet) -> None:
        await fleet.write(2)
        await wait_until(lambda: fleet.find_leader() is not None)
        leader = fleet.find_leader()
        others = [a for a, v in fleet.voters.items() if v is not leader]
        voter = fleet.voters[others[0]]

        def note(event: str, **fields) -> None:
            if event == "write_lost":
                lines.append(fields)

        voter.store._log.warn = note
        async with trouble(fleet, others):
            beside = asyncio.create_task(leader.store.write(3, b"3 beside"))
            await asyncio.sleep(FORGOTTEN_SECONDS)
            await voter.store.write(3, b"3 lost")
            await beside

    play(test, tmp_path)
    last = lines[-1]
    assert list(last)[0] == "version" and list(last)[-1] == "voters"
    shown = str({k: v for k, v in last.items()})[:KEPT_CHARS]
    assert field in shown
    assert last["error"] == "no leader is known"


def test_voter_whose_disk_refuses_is_no_loss_that_is_borne(tmp_path):
    # Guards against a disk taken away, on the leader's word, that was one too
    # many beside a full one.
    surveys: list[dict] = []

    async def test(fleet: Fleet) -> None:
        await fleet.write(2)
        await wait_until(lambda: fleet.find_leader() is not None)
        leader = fleet.find_leader()
        address = next(a for a, v in fleet.voters.items() if v is not leader)
        follower = fleet.voters[address].replica

        def note(event: str, **fields) -> None:
            if event == "voters":
                surveys.append(fields)

        def is_told(borne: int) -> bool:
            return bool(surveys) and surveys[-1]["losses_borne"] == borne

        leader.membership._survey._log.info = note
        leader.membership._survey.clear()
        await wait_until(lambda: is_told(1))
        async with refused(fleet, [address]):
            await fleet.write(3)
            await wait_until(lambda: is_told(0))
            assert list(surveys[-1]["silent_ms"]) == [follower.node]
            assert not follower.takes_part()
        await wait_until(lambda: is_told(1))
        assert follower.takes_part()

    play(test, tmp_path)


def test_voter_that_ended_is_no_loss_that_a_new_leader_bears(tmp_path):
    # Guards against a disk taken away, on a new leader's word, that was one
    # too many beside a voter that had ended before.
    surveys: list[dict] = []

    async def test(fleet: Fleet) -> None:
        await fleet.write(2)
        await wait_until(lambda: fleet.find_leader() is not None)
        leader = fleet.find_leader()
        ended = leader.replica.node
        address = next(a for a, v in fleet.voters.items() if v is leader)
        await wait_until(lambda: len(leader.replica.voters) == 4)
        await fleet.stop(address)

        def note(event: str, **fields) -> None:
            if event == "voters":
                surveys.append(fields)

        for voter in fleet.voters.values():
            voter.membership._survey._log.info = note
        await wait_until(
            lambda: surveys and ended not in surveys[-1]["voters"]
        )
        assert surveys[-1]["losses_borne"] == 1
        beside = [s for s in surveys if ended in s["voters"]]
        assert beside and all(s["losses_borne"] < 1 for s in beside)

    play(test, tmp_path, 4)
