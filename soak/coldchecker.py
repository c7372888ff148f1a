"""Checks that entries spare a target while it is cold."""

import time

import attrs

# Requests that a cold target takes within one second, over all entries.
MAX_COLD_REQUESTS = 12
# Seconds after a target announced that it is cold from which its limit holds:
# entries are notified at once, and requests in flight have arrived.
COLD_NOTICE_SECONDS = 1.0


@attrs.define
class ColdChecker:
    """Counts the requests at each target of an address while its limit holds.

    A target that starts under another name is another one: it has nothing of
    what its predecessor ran, and entries take permits for each name. One that
    keeps its name keeps its arrivals. All times are in monotonic seconds.

    :param violations: descriptions of the excesses found
    """

    violations: list[str]
    _cold_until: float = 0.0
    _limited_from: float | None = None
    _arrivals: dict[str, list[float]] = attrs.field(factory=dict)

    @property
    def seconds_left(self) -> float:
        """Seconds for which the target stays cold."""
        return max(0.0, self._cold_until - time.monotonic())

    def begin(self, seconds: float) -> None:
        """Be cold for some seconds, from the next announcement on."""
        self._cold_until = time.monotonic() + seconds
        self._limited_from = None

    def note_announced(self) -> None:
        """Record that a voter has taken an announcement of being cold."""
        if self._limited_from is None:
            self._limited_from = time.monotonic() + COLD_NOTICE_SECONDS

    def count_arrival(self, address: str, instance: str) -> int:
        """Count a request that arrives.

        :param address: address of the target, for descriptions
        :param instance: name of the target that runs there now
        :returns: number of requests within a second; 0 without a limit
        """
        now = time.monotonic()
        limited_from = self._limited_from
        if limited_from is None or not limited_from <= now < self._cold_until:
            self._arrivals.clear()
            return 0
        earlier = self._arrivals.get(instance, ())
        arrivals = [*(at for at in earlier if now - at < 1.0), now]
        self._arrivals[instance] = arrivals
        if len(arrivals) > MAX_COLD_REQUESTS:
            text = f"{len(arrivals)} a second at cold {address}"
            self.violations.append(f"{text}, {instance}")
        return len(arrivals)
