"""Whether an entry's configuration is the newest, as far as voters know."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving import Doubt
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
        # as at the start of a process, which is no change
        self._doubt: Doubt | None = Doubt.NO_CONFIGURATION
        self._newest_from = ""
        state.find_doubt = self.find_doubt

    def note_version(self, version: int, voter: str) -> None:
        """Note that a voter knows a version as committed.

        :param version: the version; -1 if it has none
        :param voter: address of the voter
        """
        if version > self._newest:
            self._newest, self._newest_from = version, voter

    def note_answer(self, is_current: bool, sent_at: float) -> None:
        """Note a voter's answer to a beat.

        :param is_current: whether the voter knows what is committed
        :param sent_at: when the beat was sent, in monotonic seconds
        """
        if is_current:
            before = self._confirmed_at
            self._confirmed_at = (
                sent_at if before is None else max(before, sent_at)
            )

    def find_doubt(self) -> Doubt | None:
        """Return why the configuration here may not be the newest."""
        index = self._state.index
        if index is None:
            return Doubt.NO_CONFIGURATION
        if index.version < self._newest:
            return Doubt.NEWER_TOLD
        is_asked = self._confirmed_at is not None
        if not is_asked or self.measure_age() > MAX_AGE_SECONDS:
            return Doubt.NO_WORD
        return None

    def measure_age(self) -> float:
        """Return the seconds since a current voter was last asked."""
        since = self._confirmed_at
        if since is None:
            since = self._started_at
        return self._clock.monotonic() - since

    def report(self) -> None:
        """Log a change, and update the metrics."""
        doubt, age = self.find_doubt(), self.measure_age()
        index = self._state.index
        held = index.version if index is not None else -1
        self._metrics.set_config_age(age, max(0, self._newest - held))
        if doubt is self._doubt:
            return
        self._doubt = doubt
        write = self._log.warn if doubt else self._log.info
        write(
            "configuration_doubted" if doubt else "configuration_current",
            reason=doubt.value if doubt else "",
            version=held,
            announced=self._newest,
            by=self._newest_from,
            age_ms=round(1000 * age),
        )
