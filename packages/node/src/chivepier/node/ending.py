"""Ending a generation that wasn't read to its end."""

import asyncio
import contextlib

from chivepier.node.engineclient import EngineClient
from chivepier.node.entry import Entry
from chivepier.node.inflight import Inflight

PROBE_SECONDS = 1.0


async def end_generation(
    entry: Entry, client: EngineClient, inflight: Inflight, linger: float
) -> None:
    """Free the engine, unless another reader has the generation.

    Then the permit stays counted while it grows, else its memory would be
    given away twice.

    :param entry: the node's parts
    :param client: the generation at its engine
    :param inflight: the record of its permit; a stop ends the wait
    :param linger: seconds in which its caller may resume it elsewhere
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(linger):
            await inflight.stopped.wait()
    tokens = await client.cancel()
    quiet = 0.0
    while tokens is not None and quiet < entry.patience.lost:
        entry.permits.report_progress(inflight, tokens)
        await asyncio.sleep(PROBE_SECONDS)
        before, tokens = tokens, await client.cancel()
        quiet = quiet + PROBE_SECONDS if tokens == before else 0.0
