"""Tests of fetching configurations during frequent changes."""

import asyncio
import os
import zlib

from chivepier.gateway.config import Configuration
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import ConfigFetcher
from chivepier.gateway.messages import ConfigAnswer
from chivepier.gateway.serving import ServingState
from chivepier.types import ManualClock
from chivepier.wire import LinkError


class FakeLinks:
    """Voters that answer once the test releases them."""

    def __init__(self) -> None:
        self.requested: list[str] = []
        self.version = 0
        self.unreachable: set[str] = set()
        self.release = asyncio.Event()

    async def request(self, address, message, timeout):
        """Answer with the version that is newest when the answer is sent."""
        self.requested.append(address)
        if address in self.unreachable:
            raise LinkError("no answer", sent=True)
        await self.release.wait()
        body = str(self.version).encode()
        return ConfigAnswer(True, self.version, zlib.compress(body))


class Setup:
    """A configuration fetcher with fake voters."""

    def __init__(self) -> None:
        self.links, self.clock = FakeLinks(), ManualClock()
        self.state = ServingState()
        log = EventLog("e1", os.open(os.devnull, os.O_WRONLY))
        self.fetcher = ConfigFetcher(
            self.links, self.decode, self.state, self.clock, log
        )

    def decode(self, body: bytes) -> Configuration:
        """Decode a version; 13 raises as a faulty decoder would."""
        if body == b"13":
            raise OverflowError
        return Configuration(version=int(body))

    def announce(self, version: int, *voters: str) -> None:
        """Let voters announce a version."""
        self.links.version = version
        for voter in voters:
            self.fetcher.record_version(voter, version)

    @property
    def current_version(self) -> int:
        """The version in force."""
        return self.state.index.version if self.state.index else -1


async def settle() -> None:
    """Let all tasks run as far as they can."""
    for _ in range(10):
        await asyncio.sleep(0)


def run_with_fetcher(test) -> None:
    """Run a test's coroutine while the fetcher runs."""

    async def work():
        setup = Setup()
        task = asyncio.create_task(setup.fetcher.run())
        try:
            await test(setup)
        finally:
            task.cancel()

    asyncio.run(work())


def test_overtaken_versions_are_not_fetched():
    # Guards against fetching superseded configurations, which filled the
    # links needed for callers' answers.
    async def test(setup):
        for version in range(1, 31):
            setup.announce(version, "v1", "v2", "v3")
            await settle()
        assert len(setup.links.requested) == 1
        setup.links.release.set()
        await settle()
        assert setup.current_version == 30
        setup.clock.advance(1.0)
        await settle()
        assert len(setup.links.requested) == 1
        setup.announce(31, "v2")
        await settle()
        assert setup.current_version == 31 and len(setup.links.requested) == 2

    run_with_fetcher(test)


def test_silent_voter_does_not_delay_a_change():
    # The first voter to announce a version freezes before it answers. The
    # fetcher must query another announcing voter next, not the silent one.
    async def test(setup):
        setup.links.unreachable = {"v1"}
        setup.links.release.set()
        setup.announce(5, "v1", "v2")
        await settle()
        setup.clock.advance(0.2)
        await settle()
        assert (
            setup.links.requested == ["v1", "v2"]
            and setup.current_version == 5
        )

    run_with_fetcher(test)


def test_voter_without_newer_version_is_not_queried():
    async def test(setup):
        setup.links.release.set()
        setup.announce(5, "v1")
        await settle()
        setup.announce(5, "v2")
        setup.fetcher.record_version("v3", -1)
        setup.clock.advance(1.0)
        await settle()
        assert setup.links.requested == ["v1"]

    run_with_fetcher(test)


def test_undecodable_configuration_does_not_end_fetching():
    # Guards against a decoding error that ends the fetching of all later
    # configurations.
    async def test(setup):
        setup.links.release.set()
        setup.announce(13, "v1")
        await settle()
        assert setup.current_version == -1
        setup.clock.advance(1.0)
        await settle()
        setup.announce(14, "v1")
        await settle()
        assert setup.current_version == 14

    run_with_fetcher(test)


def test_failed_fetches_are_repeated_without_another_announcement():
    # Guards against an entry that knows of a version, fails to fetch it once
    # from each voter, and waits for a word that doesn't come.
    async def test(setup):
        setup.links.unreachable = {"v1", "v2"}
        setup.links.release.set()
        setup.announce(5, "v1", "v2")
        for _ in range(10):
            await settle()
            setup.clock.advance(0.2)
        setup.links.unreachable = {"v1"}
        for _ in range(5):
            await settle()
            setup.clock.advance(0.2)
        await settle()
        assert setup.current_version == 5

    run_with_fetcher(test)


def test_entry_that_stood_still_amid_an_adoption_takes_the_next_one_soon():
    # Guards against a pause of seconds after an adoption that was held up.
    async def test(setup):
        decode = setup.fetcher._decode

        def stall(body):
            setup.clock.advance(0.9)
            return decode(body)

        setup.fetcher._decode = stall
        setup.links.release.set()
        setup.announce(5, "v1")
        await settle()
        setup.announce(6, "v1")
        for _ in range(6):
            setup.clock.advance(0.1)
            await settle()
        assert setup.current_version == 6

    run_with_fetcher(test)
