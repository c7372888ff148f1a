"""Decides which requests are held back for a part of their prompts."""

import collections.abc

from chivepier.gateway.quarantine.crashdetector import CrashDetector
from chivepier.gateway.quarantine.crashledger import CLEARANCE_WINDOW_SECONDS
from chivepier.gateway.quarantine.crashledger import CrashLedger
from chivepier.gateway.quarantine.crashledger import ENDING_TTL_SECONDS
from chivepier.gateway.quarantine.crashledger import HOLD_SECONDS
from chivepier.gateway.quarantine.hold import Hold
from chivepier.gateway.quarantine.partgroup import PartGroup
from chivepier.gateway.quarantine.partsoundness import PartSoundness
from chivepier.gateway.quarantine.suspects import MIN_ENDINGS
from chivepier.gateway.quarantine.trials import Trials

# Time for which a part is held back if hardly any request is answered, or
# targets also end without it, with its third ending: a sound part that was
# there by chance is soon tried again. With more endings than this it is held
# back for as long as any other, as each trial may end one more target.
UNCLEAR_HOLD_SECONDS = 5.0
MAX_UNCLEAR_ENDINGS = 4
# Ends under a part for each one without any suspect from which it stands out.
MIN_ENDS_PER_UNEXPLAINED = 2
# With each further ending a hold is this much longer, up to so many times.
HOLD_GROWTH = 2.0
MAX_GROWTHS = 10
# Time after which a caller may come again once a hold is over.
TRIAL_WAIT_SECONDS = 1.0
# Time after the first ending under a part until each entry that was answered
# requests with it has said so.
SETTLE_SECONDS = 0.25


class PartHolds:
    """Holds requests back for parts under which targets ended.

    :param ledger: the evidence against parts
    :param detector: knows which targets have ended
    :param soundness: tells whether other requests are answered
    :param trials: lets single requests through once a hold is over
    """

    def __init__(
        self,
        ledger: CrashLedger,
        detector: CrashDetector,
        soundness: PartSoundness,
        trials: Trials,
    ):
        self._ledger = ledger
        self._detector = detector
        self._soundness = soundness
        self._trials = trials

    def find(
        self,
        digest: str,
        parts: collections.abc.Collection[str],
        team: str,
        now: float,
    ) -> Hold | None:
        """Return the hold on a request for one of its parts, if any.

        :param digest: digest of the request
        :param parts: digests of the shared parts of its prompt
        :param team: team of its caller; empty if its route requires none
        :param now: current time in monotonic seconds
        """
        for group in self._ledger.parts.find_groups(parts, team):
            hold = self._find_for_group(digest, group, now)
            if hold is not None:
                return hold
        return None

    def compute_seconds(self, group: PartGroup, now: float) -> float:
        """Return for how long after its last ending a group is held back.

        :param group: the suspected parts
        :param now: current time in monotonic seconds
        """
        ends = len({ending.incarnation for ending in group.endings})
        seconds = UNCLEAR_HOLD_SECONDS
        if ends > MAX_UNCLEAR_ENDINGS or self._stands_out(group, ends, now):
            seconds = HOLD_SECONDS
        growth = HOLD_GROWTH ** min(ends - MIN_ENDINGS, MAX_GROWTHS)
        return min(seconds * growth, ENDING_TTL_SECONDS)

    def compute_settle_time(self, group: PartGroup) -> float:
        """Return from when on no entry is likely to contradict any more.

        :param group: the suspected parts
        :returns: the time in monotonic seconds
        """
        return group.endings[0].seen + SETTLE_SECONDS

    def forget(self, kept: collections.abc.Collection[frozenset[str]]) -> None:
        """Forget the trials of groups that are suspected no more."""
        self._trials.forget(kept)

    def _find_for_group(
        self, digest: str, group: PartGroup, now: float
    ) -> Hold | None:
        until = group.endings[-1].seen + self.compute_seconds(group, now)
        if now >= until:
            if self._trials.admit(group.parts, digest, until, now):
                return None
            until = now + TRIAL_WAIT_SECONDS
        settled_at = self.compute_settle_time(group)
        return Hold(digest, group.endings, until, group.parts, settled_at)

    def _stands_out(self, group: PartGroup, ends: int, now: float) -> bool:
        """Tell whether what ended under a group can hardly be chance."""
        since = group.endings[0].seen - CLEARANCE_WINDOW_SECONDS
        evidence = self._ledger.list_evidence()
        explained = {ending.incarnation for ending in evidence}
        unexplained = len(self._detector.list_ended(since) - explained)
        if unexplained * MIN_ENDS_PER_UNEXPLAINED > ends:
            return False
        software = group.endings[-1].software
        return self._soundness.is_serving(software, now)
