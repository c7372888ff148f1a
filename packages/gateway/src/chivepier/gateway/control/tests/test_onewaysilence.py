"""Tests of entries whose links to voters are silent in one direction."""

import asyncio
import collections.abc
import contextlib
import itertools

import pytest

from chivepier.gateway.control.tests.fleet import Fleet
from chivepier.gateway.control.tests.fleet import Follower
from chivepier.gateway.control.tests.fleet import play
from chivepier.gateway.control.tests.fleet import wait_until
from chivepier.gateway.messages import ConfigRequest
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.standins.loopclock import tell_time
from chivepier.standins.onewaylink import deafen
from chivepier.standins.onewaylink import mute
from chivepier.wire import Channel

ENTRIES = 4
# Within this of its acknowledgement, a configuration is in force.
APPLY_SECONDS = 2.0
# Within this of a disturbance, everybody counts as undisturbed again.
TOUCH_SECONDS = 3.0
# Seconds between two changes of targets, which each voter pushes.
PUSH_SECONDS = 0.2

Lose = collections.abc.Callable[[Channel], None]

ONE_WAY = pytest.mark.parametrize("lose", (mute, deafen))
SIZES = pytest.mark.parametrize("size", (3, 4, 5))


async def push(fleet: Fleet) -> None:
    """Let each voter push a target again and again."""
    for number in itertools.count():
        for place, voter in enumerate(list(fleet.voters.values())):
            name = f"i{place}-{number}"
            voter.registry.announce(make(name, heard=tell_time()))
        await asyncio.sleep(PUSH_SECONDS)


@contextlib.asynccontextmanager
async def spread(
    fleet: Fleet,
) -> collections.abc.AsyncIterator[list[Follower]]:
    """Yield entries that have a first version, while voters push."""
    followers = await fleet.follow_many(ENTRIES)
    await fleet.write(1)
    await await_version(followers, 1)
    task = asyncio.create_task(push(fleet))
    try:
        await asyncio.sleep(1)
        yield followers
    finally:
        task.cancel()


def silence(
    followers: list[Follower], lose: Lose, address: str | None = None
) -> None:
    """Silence the entries' open links to one voter, by default to all."""
    for follower in followers:
        for peer, channel in follower.links._channels.items():
            if address in (None, peer):
                lose(channel)


async def await_version(
    followers: list[Follower],
    version: int,
    seconds: float = TOUCH_SECONDS + APPLY_SECONDS,
) -> None:
    """Wait until all entries serve by a version; fail after some time."""

    def is_in_force() -> bool:
        indexes = [follower.state.index for follower in followers]
        return all(i is not None and i.version >= version for i in indexes)

    async with asyncio.timeout(seconds):
        await wait_until(is_in_force)


@SIZES
@ONE_WAY
@pytest.mark.parametrize("pause", (0.0, 0.7))
def test_version_is_in_force_though_links_are_silent_one_way(
    tmp_path, size, lose, pause
):
    # Guards against entries that hear of a version and never get it, as what
    # voters push passes for life on links that lose all requests.
    async def test(fleet):
        async with spread(fleet) as followers:
            silence(followers, lose)
            await asyncio.sleep(pause)
            await fleet.write(2)
            await await_version(followers, 2)

    play(test, tmp_path, size)


@SIZES
@ONE_WAY
def test_version_is_in_force_though_links_go_silent_one_way_after_it(
    tmp_path, size, lose
):
    # Guards against the same, where the silence begins with the version.
    async def test(fleet):
        async with spread(fleet) as followers:
            await fleet.write(2)
            silence(followers, lose)
            await await_version(followers, 2)

    play(test, tmp_path, size)


@SIZES
@ONE_WAY
def test_versions_are_in_force_though_voters_go_silent_in_turn(
    tmp_path, size, lose
):
    # Guards against fetches that move on to the next silent link each time.
    async def test(fleet):
        async with spread(fleet) as followers:
            for version, address in enumerate(fleet.seeds, 2):
                silence(followers, lose, address)
                await fleet.write(version)
                await asyncio.sleep(0.5)
            await await_version(followers, version)

    play(test, tmp_path, size)


@ONE_WAY
@pytest.mark.parametrize("pause", (0.3, 1.1))
def test_version_is_in_force_after_silences_in_series(tmp_path, lose, pause):
    # Guards against a link that is taken for a new one each time it is lost.
    async def test(fleet):
        async with spread(fleet) as followers:
            for version in range(2, 8):
                silence(followers, lose)
                await fleet.write(version)
                await asyncio.sleep(pause)
            await await_version(followers, version)

    play(test, tmp_path)


@SIZES
@ONE_WAY
def test_version_is_in_force_though_its_fetch_was_lost(tmp_path, size, lose):
    # Guards against an entry that fails to fetch a version once, and waits
    # until it is told of it again.
    async def test(fleet):
        async with spread(fleet) as followers:
            for follower in followers:
                lose_first_fetches(follower, lose, size)
            await fleet.write(2)
            await await_version(followers, 2)

    play(test, tmp_path, size)


def lose_first_fetches(follower: Follower, lose: Lose, count: int) -> None:
    """Silence the link on which a version is fetched, some times."""
    request, left = follower.links.request, iter(range(count))

    async def ask(peer, value, timeout):
        if isinstance(value, ConfigRequest) and next(left, None) is not None:
            lose(follower.links._channels[peer])
        return await request(peer, value, timeout)

    follower.links.request = ask
