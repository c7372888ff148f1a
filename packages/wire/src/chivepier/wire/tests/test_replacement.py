"""Tests of what waits on a link that another one replaces."""

import asyncio

from chivepier.standins.loopclock import LoopClock
from chivepier.standins.onewaylink import mute
from chivepier.standins.playedloop import play_time
from chivepier.wire import Faults
from chivepier.wire import Links
from chivepier.wire import PeerServer
from chivepier.wire.tests.test_silence import answer
from chivepier.wire.tests.test_silence import KEY
from chivepier.wire.tests.test_silence import REQUEST


def test_replacement_is_told_once_the_new_link_can_be_used():
    # Guards against asking again over the link that has gone silent.
    async def body():
        clock = LoopClock()
        async with (
            PeerServer("127.0.0.1", 0, answer, KEY, clock) as server,
            Links("a:1", KEY, answer, Faults(), clock) as links,
        ):
            peer = f"127.0.0.1:{server.port}"
            old = await links.connect(peer, 1.0)
            early = old.watch_replacement()
            assert old.watch_replacement() is early
            await asyncio.sleep(2.0)
            assert not early.done()
            mute(old)
            async with asyncio.timeout(2.0):
                await early
            new = await links.connect(peer, 1.0)
            assert new is not old and not old.closed
            assert old.watch_replacement().done()
            assert not new.watch_replacement().done()
            await new.request(REQUEST, 1.0)

    play_time(body())


def test_replacement_is_told_to_what_waits_from_later_on():
    async def body():
        clock = LoopClock()
        async with (
            PeerServer("127.0.0.1", 0, answer, KEY, clock) as server,
            Links("a:1", KEY, answer, Faults(), clock) as links,
        ):
            old = await links.connect(f"127.0.0.1:{server.port}", 1.0)
            mute(old)
            await asyncio.sleep(2.0)
            assert old.replaced and old.watch_replacement().done()

    play_time(body())
