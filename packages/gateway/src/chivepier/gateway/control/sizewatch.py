"""Logs what the replicated state takes in memory."""

import resource

from chivepier.gateway.eventlog import EventLog
from chivepier.state import Replica
from chivepier.types import Clock

# Growth that is worth a line.
LOGGED_FACTOR = 2
# Smaller states are not worth a line.
MIN_LOGGED_BYTES = 1 << 20
# Seconds between two checks.
CHECK_INTERVAL_SECONDS = 1.0


class SizeWatch:
    """Logs each doubling of the most that a voter's log and state took.

    A voter that goes over its memory is ended without a word; the lines
    before it tell which part has grown.

    :param replica: this voter's replica
    :param clock: monotonic clock
    :param log: event log of this process
    """

    def __init__(self, replica: Replica, clock: Clock, log: EventLog):
        self._replica = replica
        self._clock = clock
        self._log = log
        self._most_logged = MIN_LOGGED_BYTES

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.check()
            await self._clock.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Log the sizes if they are twice what was last logged."""
        sizes = self._replica.measure()
        if sizes.total < self._most_logged * LOGGED_FACTOR:
            return
        self._most_logged = sizes.total
        self._log.info(
            "state_size",
            entries=len(self._replica.storage.entries),
            log_bytes=sizes.log,
            recent_bytes=sizes.recent,
            document_bytes=sizes.documents,
            snapshot_bytes=sizes.snapshot,
            peak_kb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        )
