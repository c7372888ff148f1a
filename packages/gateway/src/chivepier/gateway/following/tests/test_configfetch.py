"""Tests of fetching configurations under a storm of changes."""

import asyncio
import os
import zlib

from chivepier.gateway.config import Configuration
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import ConfigFetch
from chivepier.gateway.messages import ConfigAnswer
from chivepier.gateway.serving import ServingState
from chivepier.types import ManualClock
from chivepier.wire import LinkError


class FakeLinks:
    """Voters that answer when the test says so."""

    def __init__(self) -> None:
        self.asked: list[str] = []
        self.version = 0
        self.dark: set[str] = set()
        self.release = asyncio.Event()

    async def request(self, address, message, timeout):
        """Answer with the newest version at the moment of the answer."""
        self.asked.append(address)
        if address in self.dark:
            raise LinkError("no answer", sent=True)
        await self.release.wait()
        body = str(self.version).encode()
        return ConfigAnswer(True, self.version, zlib.compress(body))


class Rig:
    """A fetch over fake voters."""

    def __init__(self) -> None:
        self.links, self.clock = FakeLinks(), ManualClock()
        self.state = ServingState()
        log = EventLog("e1", os.open(os.devnull, os.O_WRONLY))
        self.fetch = ConfigFetch(
            self.links, self.decode, self.state, self.clock, log
        )

    def decode(self, body: bytes) -> Configuration:
        """Read a version; 13 shows a fault of the reader."""
        if body == b"13":
            raise OverflowError
        return Configuration(version=int(body))

    def tell(self, version: int, *voters: str) -> None:
        """Let voters tell a version."""
        self.links.version = version
        for voter in voters:
            self.fetch.note(voter, version)

    @property
    def held(self) -> int:
        """The version in force."""
        return self.state.index.version if self.state.index else -1


async def settle() -> None:
    """Let all tasks run as far as they can."""
    for _ in range(10):
        await asyncio.sleep(0)


def play(test) -> None:
    """Run a test's coroutine beside a running fetch."""

    async def work():
        rig = Rig()
        task = asyncio.create_task(rig.fetch.run())
        try:
            await test(rig)
        finally:
            task.cancel()

    asyncio.run(work())


def test_storm_of_versions_costs_two_fetches():
    # Configurations overtaken on their way filled the links of callers'
    # answers.
    async def test(rig):
        for version in range(1, 31):
            rig.tell(version, "v1", "v2", "v3")
            await settle()
        assert len(rig.links.asked) == 1
        rig.links.release.set()
        await settle()
        assert rig.held == 30
        rig.clock.advance(1.0)
        await settle()
        assert len(rig.links.asked) == 1
        rig.tell(31, "v2")
        await settle()
        assert rig.held == 31 and len(rig.links.asked) == 2

    play(test)


def test_silent_voter_does_not_hold_up_a_change():
    # The voter that tells first is frozen before it answers. Another one
    # that has told is asked next, not the silent one again.
    async def test(rig):
        rig.links.dark = {"v1"}
        rig.links.release.set()
        rig.tell(5, "v1", "v2")
        await settle()
        rig.clock.advance(0.2)
        await settle()
        assert rig.links.asked == ["v1", "v2"] and rig.held == 5

    play(test)


def test_voter_without_news_is_not_asked():
    async def test(rig):
        rig.links.release.set()
        rig.tell(5, "v1")
        await settle()
        rig.tell(5, "v2")
        rig.fetch.note("v3", -1)
        rig.clock.advance(1.0)
        await settle()
        assert rig.links.asked == ["v1"]

    play(test)


def test_configuration_that_can_not_be_read_ends_nothing():
    # One configuration that was not read ended the fetching of all later ones.
    async def test(rig):
        rig.links.release.set()
        rig.tell(13, "v1")
        await settle()
        assert rig.held == -1
        rig.clock.advance(1.0)
        await settle()
        rig.tell(14, "v1")
        await settle()
        assert rig.held == 14

    play(test)
