"""Tests of messages that a handler rejects."""

import asyncio

import logbook
import pytest

from chivepier.messages import LogRequest
from chivepier.types import SystemClock
from chivepier.wire import LinkError
from chivepier.wire import Links
from chivepier.wire import PeerServer
from chivepier.wire import RefusedError

KEY = "key-of-tests"


async def send_request(handle) -> None:
    """Send a request to a peer that rejects it, over a real link."""
    async with PeerServer(
        "127.0.0.1", 0, handle, KEY, SystemClock()
    ) as server:
        links = Links("127.0.0.1:1", KEY, handle, server.faults, SystemClock())
        async with links:
            peer = f"127.0.0.1:{server.port}"
            await links.request(peer, LogRequest("c"), 5.0)


def refuse(message, channel):
    """Reject a message synchronously."""
    raise RefusedError("not mine")


async def refuse_later(message, channel):
    """Reject a message asynchronously."""
    raise RefusedError("not mine")


@pytest.mark.parametrize("handle", [refuse, refuse_later])
def test_refusal_is_answered_but_not_logged(handle):
    """The leader sends to a voter whose instance has lost its data.

    Each rejected message left a traceback in the log, several a second until
    the voter was replaced.
    """
    with logbook.TestHandler().applicationbound() as records:
        with pytest.raises(LinkError, match="not mine"):
            asyncio.run(send_request(handle))
    assert not records.records
