"""Passing on what entries run at targets."""

import asyncio

from chivepier.gateway.control.entrydirectory import EntryDirectory
from chivepier.gateway.messages import LoadNotice
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.messages import QueueRecord
from chivepier.types import Clock

# Seconds for which changes are gathered: one message to each entry carries
# what all entries said meanwhile. Generations start some tens of times a
# second, so a choice misses one or two of them.
GATHER_SECONDS = 0.02


class LoadHub:
    """Gathers loads from entries and sends them to all others.

    :param entries: who takes part
    :param clock: monotonic time
    """

    def __init__(self, entries: EntryDirectory, clock: Clock):
        self._entries = entries
        self._clock = clock
        self._waiting: dict[tuple[str, str], LoadRecord] = {}
        self._queues: dict[tuple[str, str, int], QueueRecord] = {}
        self._ready = asyncio.Event()

    def take(self, notice: LoadNotice) -> None:
        """Take what an entry says."""
        for record in notice.records:
            self._waiting[(record.entry, record.instance)] = record
        for queue in notice.queues:
            key = (queue.entry, queue.service, queue.rank)
            self._queues[key] = queue
        self._ready.set()

    async def run(self) -> None:
        """Pass on, for as long as the node lives."""
        while True:
            await self._ready.wait()
            await self._clock.sleep(GATHER_SECONDS)
            self._ready.clear()
            notice = LoadNotice(
                tuple(self._waiting.values()), tuple(self._queues.values())
            )
            self._waiting.clear()
            self._queues.clear()
            for channel in self._entries.channels():
                channel.send(notice)
