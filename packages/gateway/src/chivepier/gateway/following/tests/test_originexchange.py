"""Tests of telling voters where streams began."""

import asyncio
import os

import pytest

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import OriginExchange
from chivepier.gateway.following.originexchange import ASK_SECONDS
from chivepier.gateway.following.originexchange import HOLD_SECONDS
from chivepier.gateway.following.originexchange import MAX_WAITING
from chivepier.gateway.following.tests.fakevoters import Voters
from chivepier.gateway.following.tests.fakevoters import VOTERS
from chivepier.gateway.origins import choose_holders
from chivepier.gateway.origins import Origin
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.origins import OriginTable
from chivepier.gateway.serving.errors import UnansweredError
from chivepier.gateway.serving.tests.fakeengines import make_target
from chivepier.gateway.targets import TargetTable
from chivepier.standins.loopclock import LoopClock
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time


class EntryFixture:
    """The part of an entry that tells voters."""

    def __init__(self, voters: Voters, *versions: str):
        self.targets = TargetTable(1.0)
        for number, version in enumerate(versions):
            self.add_version(f"a{number}", version)
        self.origins = OriginTable()
        self.exchange = OriginExchange(
            self.origins,
            self.targets,
            voters,
            lambda: dict(voters.epochs),
            LoopClock(),
            EventLog("e1", os.open(os.devnull, os.O_WRONLY)),
        )

    def add_version(self, name: str, version: str) -> None:
        """Announce a target."""
        self.targets.put(make_target(name, software_version=version))

    def begin(self, attempt: str) -> None:
        """Note that a stream has begun at v1."""
        now = tell_time()
        key = OriginKey("t1", attempt)
        origin = Origin(key, "llm", "v1", now, now + 600.0)
        self.origins.put(origin, now)
        self.exchange.publish(origin)


def play(test, *versions: str) -> None:
    """Run a test with an entry that knows targets of some versions."""

    async def work():
        voters = Voters()
        entry = EntryFixture(voters, *versions)
        task = asyncio.create_task(entry.exchange.run())
        async with asyncio.timeout(30):
            await test(entry, voters)
        task.cancel()

    play_time(work())


def test_nothing_is_told_while_there_is_one_version():
    # A calm day costs no message.
    async def test(entry, voters):
        for number in range(50):
            entry.begin(f"s{number}")
        await asyncio.sleep(2.0)
        assert voters.notices == 0

    play(test, "v1", "v1")


def test_another_entry_learns_where_a_stream_began():
    async def test(entry, voters):
        entry.begin("s1")
        await asyncio.sleep(0.1)
        assert voters.count("s1") == 3
        other = EntryFixture(voters, "v1", "v2")
        origin = await other.exchange.ask(OriginKey("t1", "s1"))
        assert (origin.service, origin.software_version) == ("llm", "v1")
        assert await other.exchange.ask(OriginKey("t2", "s1")) is None

    play(test, "v1", "v2")


def test_streams_are_told_once_another_version_appears():
    # They began while nothing was told, and may be taken up after it.
    async def test(entry, voters):
        entry.begin("s1")
        await asyncio.sleep(1.0)
        assert voters.count("s1") == 0
        entry.add_version("b", "v2")
        await asyncio.sleep(0.5)
        assert voters.count("s1") == 3

    play(test, "v1")


def test_voter_that_has_started_again_is_told_again():
    async def test(entry, voters):
        entry.begin("s1")
        await asyncio.sleep(0.1)
        for name in VOTERS:
            voters.restart(name)
        assert voters.count("s1") == 0
        await asyncio.sleep(0.5)
        assert voters.count("s1") == 3

    play(test, "v1", "v2")


def test_voter_that_did_not_answer_is_told_later():
    async def test(entry, voters):
        voters.down |= set(VOTERS)
        entry.begin("s1")
        await asyncio.sleep(1.0)
        assert voters.count("s1") == 0
        voters.down.clear()
        await asyncio.sleep(1.0)
        assert voters.count("s1") == 3

    play(test, "v1", "v2")


def test_what_waits_for_a_voter_is_bounded():
    # A voter that hangs for long must not take the memory of an entry.
    async def test(entry, voters):
        voters.silent |= set(VOTERS)
        for number in range(2 * MAX_WAITING):
            entry.begin(f"s{number}")
        await asyncio.sleep(0.5)
        waiting = entry.exchange._waiting.values()
        assert max(len(part) for part in waiting) <= MAX_WAITING
        voters.silent.clear()
        await asyncio.sleep(5.0)
        assert voters.count(f"s{2 * MAX_WAITING - 1}") == 3

    play(test, "v1", "v2")


def test_streams_of_routes_with_several_services_are_told_always():
    # Each service may run one version, and none is the stream's for certain.
    async def test(entry, voters):
        now = tell_time()
        origin = Origin(OriginKey("t1", "s1"), "llm", "v1", now, now + 60.0)
        entry.exchange.publish(origin, always=True)
        await asyncio.sleep(0.1)
        assert voters.count("s1") == 3

    play(test, "v1")


@pytest.mark.parametrize("silent", (0, 1, 2, 5))
def test_voters_that_do_not_answer_delay_a_caller_little(silent):
    async def test(entry, voters):
        entry.begin("s1")
        await asyncio.sleep(0.1)
        voters.silent |= set(VOTERS[:silent])
        began, origin = tell_time(), None
        try:
            origin = await entry.exchange.ask(OriginKey("t1", "s1"))
        except UnansweredError:
            # of three that keep it, one at least answers otherwise
            assert silent == len(VOTERS)
        assert tell_time() - began <= ASK_SECONDS + 0.01
        assert (origin is not None) is (silent < len(VOTERS))

    play(test, "v1", "v2")


@pytest.mark.parametrize("silent", range(4))
@pytest.mark.parametrize("shape", ("silent", "down"))
def test_silence_of_those_that_may_know_is_not_taken_for_not_known(
    shape, silent
):
    # A cut off entry took the one version it knew for that of any stream.
    async def test(entry, voters):
        key = OriginKey("t1", "never-told")
        holders = choose_holders(key, VOTERS)
        getattr(voters, shape).update(holders[:silent])
        if silent < 2:
            assert await entry.exchange.ask(key) is None
            return
        with pytest.raises(UnansweredError):
            await entry.exchange.ask(key)

    play(test, "v1", "v2")


def test_first_event_waits_until_a_voter_keeps_where_its_stream_began():
    # An entry killed right after it had told nobody.
    async def test(entry, voters):
        for number in range(20):
            entry.begin(f"s{number}")
            await entry.exchange.hold(OriginKey("t1", f"s{number}"))
            assert voters.count(f"s{number}") > 0

    play(test, "v1", "v2")


@pytest.mark.parametrize("versions", (("v1",), ("v1", "v2")))
def test_first_event_waits_little_if_no_voter_answers(versions):
    async def test(entry, voters):
        voters.silent |= set(VOTERS)
        entry.begin("s1")
        began = tell_time()
        await entry.exchange.hold(OriginKey("t1", "s1"))
        bound = HOLD_SECONDS if len(versions) > 1 else 0.0
        assert tell_time() - began <= bound + 0.001

    play(test, *versions)


@pytest.mark.parametrize("versions", (("v1", "v2"), ("v1",)))
def test_attempt_without_an_encoding_keeps_no_other_untold(versions):
    # Guards against an entry that tells of no stream any more, after a caller
    # has sent a header with a byte that is no UTF-8.
    async def test(entry, voters):
        entry.begin("s\udcff")
        entry.begin("s1")
        await asyncio.sleep(1.0)
        entry.add_version("b", "v2")
        entry.begin("s2")
        await asyncio.sleep(5.0)
        assert voters.count("s1") >= 1 and voters.count("s2") >= 1

    play(test, *versions)
