"""A line every few seconds for as long as a voter knows no leader."""

import collections.abc

import logbook

from chivepier.state.condition import Condition
from chivepier.state.core import Core
from chivepier.state.electionlog import ElectionLog

log = logbook.Logger("state")

# Seconds without a leader before the first line, and between two.
LINE_SECONDS = 4.0
# Seconds between two looks.
LOOK_SECONDS = 0.5


class SilenceLog:
    """Tells nobody stands from each stands and gets the same answers.

    It runs beside what stands, as that may wait for ever. Lines of elections
    that repeat are left out, so without it a time without a leader says
    nothing from its second second on.

    :param core: the voter
    :param elections: what was said in elections
    :param describe: returns what keeps it from its part
    """

    def __init__(
        self,
        core: Core,
        elections: ElectionLog,
        describe: collections.abc.Callable[[], Condition],
    ):
        self._core = core
        self._elections = elections
        self._describe = describe

    async def run(self) -> None:
        """Write lines for as long as the voter runs, stopped or not."""
        clock = self._core.clock
        led_at = written_at = clock.monotonic()
        while True:
            await clock.sleep(LOOK_SECONDS)
            now = clock.monotonic()
            if self._core.leader or not self._core.is_voter():
                led_at = written_at = now
            elif now - written_at >= LINE_SECONDS:
                written_at = now
                self._write(now - led_at)

    def _write(self, seconds: float) -> None:
        core, state = self._core, self._describe()
        log.warning(
            "no leader for={:.1f} stopped={} disk={} write={:.1f} lock={:.1f}"
            " quiet={:.1f} stood={} last={:.1f} ended={} term={} log={}/{}"
            " commit={} answers={} refused={} voters={}",
            seconds,
            state.stopped,
            state.refusal,
            state.writing,
            state.locked,
            state.quiet,
            state.attempts,
            state.stood,
            state.ended,
            core.storage.term,
            core.storage.last_term,
            core.storage.last_index,
            core.commit,
            self._elections.answers,
            self._elections.refusals,
            ",".join(voter.node for voter in core.voters),
        )
