"""Tests of messages that can't be encoded."""

import asyncio

import pytest

from chivepier.messages import FreshAnswer
from chivepier.messages import FreshRequest
from chivepier.messages import LogRequest
from chivepier.types import SystemClock
from chivepier.wire import Channel
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import PeerServer

KEY = "key-of-tests"
GOOD = FreshRequest("a", 1, 1)
# a lone surrogate has no encoding
BAD_TEXT = "\ud800"
BAD = FreshRequest(BAD_TEXT, 1, 1)
SECONDS = 5.0


def answer(message, channel):
    """Answer each request, one with a text that has no encoding."""
    text = BAD_TEXT if isinstance(message, LogRequest) else "b"
    return FreshAnswer(text, 1, 2)


async def exchange(test) -> None:
    """Run a test with links, and the address of a peer."""
    server = PeerServer("127.0.0.1", 0, answer, KEY, SystemClock())
    async with server:
        links = Links("a:1", KEY, answer, server.faults, SystemClock())
        async with links:
            await test(links, f"127.0.0.1:{server.port}")


def test_message_without_an_encoding_takes_no_other_with_it():
    # Guards against a link that sends nothing any more, and is never
    # replaced, as its pings are answered.
    async def test(links, peer):
        await links.request(peer, GOOD, SECONDS)
        links.post(peer, BAD)
        links.post(peer, GOOD)
        found = await links.request(peer, GOOD, SECONDS)
        assert found.node == "b"

    asyncio.run(exchange(test))


def test_request_without_an_encoding_fails_at_once():
    # Guards against a caller that waits for the answer to what was not sent.
    async def test(links, peer):
        await links.request(peer, GOOD, SECONDS)
        with pytest.raises(LinkError, match="encode") as caught:
            await links.request(peer, BAD, SECONDS)
        assert not caught.value.sent

    asyncio.run(exchange(test))


def test_answer_without_an_encoding_is_told_as_a_failure():
    # Guards against the same at the side that answers.
    async def test(links, peer):
        with pytest.raises(LinkError, match="encode"):
            await links.request(peer, LogRequest("c"), SECONDS)
        found = await links.request(peer, GOOD, SECONDS)
        assert found.node == "b"

    asyncio.run(exchange(test))


@pytest.mark.parametrize("part", ("_write", "watch", "_receive"))
def test_part_of_a_link_that_fails_once_costs_one_connection(
    monkeypatch, part
):
    # Guards against a link that goes on without its writer, reader or watch.
    original = getattr(Channel, part)
    failures = []

    async def fail_once(channel, *args):
        if not failures:
            failures.append(channel)
            raise RuntimeError("unexpected")
        return await original(channel, *args)

    def fail_once_at_once(channel, *args):
        if not failures:
            failures.append(channel)
            raise RuntimeError("unexpected")
        return original(channel, *args)

    fail = fail_once_at_once if part == "_receive" else fail_once
    monkeypatch.setattr(Channel, part, fail)

    async def test(links, peer):
        async with asyncio.timeout(SECONDS):
            while not failures or links._channels[peer] in failures:
                try:
                    await links.request(peer, GOOD, 0.2)
                except LinkError:
                    await asyncio.sleep(0.01)
        await links.request(peer, GOOD, SECONDS)

    asyncio.run(exchange(test))
