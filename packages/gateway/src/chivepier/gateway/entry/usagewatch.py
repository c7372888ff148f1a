"""Watches how much of an entry's limits is used."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.serving import RequestHandler
from chivepier.gateway.serving import Shedding
from chivepier.gateway.usage import UsageMeter
from chivepier.types import Clock

# Seconds between two measurements: a fraction of those in which bodies and
# answers fill the tenth of the memory that is left when shedding begins.
MEASURE_SECONDS = 0.25


class UsageWatch:
    """Measures the usage, and begins and ends the shedding of requests.

    :param meter: measures the usage
    :param shedding: decides when new requests are refused
    :param serving: counts the requests that are served
    :param clock: source of monotonic time
    :param log: event log of this process
    """

    def __init__(
        self,
        meter: UsageMeter,
        shedding: Shedding,
        serving: RequestHandler,
        clock: Clock,
        log: EventLog,
    ):
        self._meter = meter
        self._shedding = shedding
        self._serving = serving
        self._clock = clock
        self._log = log

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self.check()
            await self._clock.sleep(MEASURE_SECONDS)

    def check(self) -> None:
        """Measure once, and log each change of the decision."""
        usage, active = self._meter.measure(), self._serving.active
        if not self._shedding.update(usage, active):
            return
        shortage = self._shedding.shortage
        write = self._log.warn if shortage else self._log.info
        write(
            "shedding",
            shortage=shortage.value if shortage else None,
            memory=round(usage.memory, 3),
            descriptors=round(usage.descriptors, 3),
            processor=round(usage.processor, 3),
            active=active,
        )
