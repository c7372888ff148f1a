"""Whether an entry's configuration is the newest, as far as voters know."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import ServingState
from chivepier.types import Clock

# Age up to which the word of a voter counts; a few beats fit into it. With the
# time for which a voter counts as current, less than the time in which a
# change is in force.
MAX_AGE_SECONDS = 0.95


class Currency:
    """Tells whether routes and keys that are not known here may exist.

    An entry that is cut off, or hears only voters that are, serves by what it
    knows. What it doesn't know may have been added meanwhile: it must not
    deny it.

    :param state: the configuration in force here
    :param clock: source of monotonic time
    :param log: receives changes
    :param metrics: receives the age of what is known
    """

    def __init__(
        self,
        state: ServingState,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self._state = state
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._newest = -1
        self._confirmed_at: float | None = None
        self._started_at = clock.monotonic()
        self._was_current: bool | None = None
        state.is_current = self.is_current

    def note_version(self, version: int) -> None:
        """Note that a voter knows a version as committed."""
        self._newest = max(self._newest, version)

    def note_answer(
        self, version: int, is_current: bool, sent_at: float
    ) -> None:
        """Note a voter's answer to a beat.

        :param version: version of its configuration; -1 if it has none
        :param is_current: whether the voter knows what is committed
        :param sent_at: when the beat was sent, in monotonic seconds
        """
        self.note_version(version)
        if is_current:
            before = self._confirmed_at
            self._confirmed_at = (
                sent_at if before is None else max(before, sent_at)
            )

    def is_current(self) -> bool:
        """Tell whether the configuration here is the newest."""
        index = self._state.index
        return (
            index is not None
            and index.version >= self._newest
            and self._confirmed_at is not None
            and self.measure_age() <= MAX_AGE_SECONDS
        )

    def measure_age(self) -> float:
        """Return the seconds since a current voter was last asked."""
        since = self._confirmed_at
        if since is None:
            since = self._started_at
        return self._clock.monotonic() - since

    def report(self) -> None:
        """Log a change, and update the metrics."""
        current, age = self.is_current(), self.measure_age()
        index = self._state.index
        held = index.version if index is not None else -1
        self._metrics.set_config_age(age, max(0, self._newest - held))
        if current is self._was_current:
            return
        self._was_current = current
        self._log.info(
            "configuration_current" if current else "configuration_doubted",
            version=held,
            announced=self._newest,
            age_ms=round(1000 * age),
        )
