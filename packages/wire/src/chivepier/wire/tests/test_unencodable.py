"""Tests of links beside a message that can't be encoded."""

import asyncio

import pytest

from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.types import SystemClock
from chivepier.wire import Faults
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-tests"
LONE_SURROGATE = "\ud800"
SECONDS = 2.0


def run(test, handle) -> None:
    """Run a test over links to a peer."""

    async def work() -> None:
        clock = SystemClock()
        async with (
            asyncio.timeout(20),
            PeerServer("127.0.0.1", 0, handle, KEY, clock) as server,
            Links("a:1", KEY, handle, Faults(), clock) as links,
        ):
            await test(links, f"127.0.0.1:{server.port}")

    asyncio.run(work())


def answer(message: FreshRequest, channel) -> FreshAnswer:
    """Answer with the name that was asked for."""
    name = message.node if message.version else LONE_SURROGATE
    return FreshAnswer(name, 1, message.version)


@pytest.mark.parametrize("is_posted", (False, True))
def test_message_that_cannot_be_encoded_costs_no_other_message(is_posted):
    # Guards against a link that answers pings but sends nothing, for good:
    # voters that hear callers and never one another.
    async def test(links: Links, peer: str) -> None:
        await links.request(peer, FreshRequest("b", 1, 1), SECONDS)
        if is_posted:
            links.post(peer, FreshRequest(LONE_SURROGATE, 1, 1))
        else:
            with pytest.raises(LinkError):
                message = FreshRequest(LONE_SURROGATE, 1, 1)
                await links.request(peer, message, SECONDS)
        found = await links.request(peer, FreshRequest("b", 1, 2), SECONDS)
        assert found.version == 2

    run(test, answer)


def test_answer_that_cannot_be_encoded_costs_no_other_answer():
    # Guards against a peer that gets all requests and answers none, for good.
    async def test(links: Links, peer: str) -> None:
        with pytest.raises(LinkError):
            await links.request(peer, FreshRequest("b", 1, 0), SECONDS)
        found = await links.request(peer, FreshRequest("b", 1, 2), SECONDS)
        assert found.version == 2

    run(test, answer)


@pytest.mark.parametrize("is_asked", (False, True))
def test_connection_whose_writer_has_ended_is_replaced(is_asked):
    # Guards against a connection that is kept for its pongs and sends nothing,
    # at either of its ends.
    channels = []

    def answer_known(message: FreshRequest, channel) -> FreshAnswer:
        channels.append(channel)
        return answer(message, channel)

    async def test(links: Links, peer: str) -> None:
        await links.request(peer, FreshRequest("b", 1, 1), SECONDS)
        broken = links._channels[peer] if is_asked else channels[0]

        async def send(parts) -> None:
            raise RuntimeError("of no kind that is known")

        broken._send = send
        with pytest.raises(LinkError):
            await links.request(peer, FreshRequest("b", 1, 2), SECONDS)
        found = await links.request(peer, FreshRequest("b", 1, 3), SECONDS)
        assert found.version == 3

    run(test, answer_known)
