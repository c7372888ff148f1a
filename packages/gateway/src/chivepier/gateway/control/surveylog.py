"""Logs how the voters do, when that changes."""

import collections.abc

from chivepier.gateway.control.removal import Removal
from chivepier.gateway.control.removalpolicy import count_borne
from chivepier.gateway.control.removalpolicy import LOST_SECONDS
from chivepier.gateway.control.voterhealth import VoterHealth
from chivepier.gateway.eventlog import EventLog


class SurveyLog:
    """Writes which voters there are, which are silent, and what follows.

    :param log: event log of this process
    """

    def __init__(self, log: EventLog):
        self._log = log
        self._written: tuple | None = None

    def clear(self) -> None:
        """Let the next line be written, as this node leads no more."""
        self._written = None

    def write(
        self,
        healths: collections.abc.Sequence[VoterHealth],
        removal: Removal,
    ) -> None:
        """Write a line if anything but the times has changed.

        :param healths: all voters
        :param removal: which of them is to be removed, and why
        """
        # a new leader doesn't know that those bear a loss who never answered
        lost = [h for h in healths if h.silent >= LOST_SECONDS or not h.heard]
        key = (
            [h.voter for h in healths],
            [h.voter for h in lost],
            [h.voter for h in healths if h.stops],
            removal,
        )
        if key == self._written:
            return
        self._written = key
        self._log.info(
            "voters",
            losses_borne=count_borne(len(healths)) - len(lost),
            reason=removal.reason.value,
            removed=removal.voter.node if removal.voter else "",
            silent_ms={h.voter.node: round(1000 * h.silent) for h in lost},
            stopping=[h.voter.node for h in healths if h.stops],
            voters=[h.voter.node for h in healths],
        )
