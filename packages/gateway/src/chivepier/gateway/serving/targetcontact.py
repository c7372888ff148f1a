"""One exchange with a target."""

from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.permits import Permit
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.errand import Errand
from chivepier.gateway.serving.remarks import Remarks
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.targets import Target


class TargetContact:
    """Looks before the first byte, and notes what the answer's head says.

    :param target: that is contacted
    :param errand: what for
    :param permit: to send there
    :param gate: knows what may be sent where
    :param remarks: notes what heads say
    """

    def __init__(
        self,
        target: Target,
        errand: Errand,
        permit: Permit,
        gate: SendGate,
        remarks: Remarks,
    ):
        self._target = target
        self._errand = errand
        self._permit = permit
        self._gate = gate
        self._remarks = remarks
        self._known: VersionedLimit | None = None

    def begin(self) -> None:
        """Look once more, with the connection standing.

        :raises NotPermittedError: when nothing must be sent now
        """
        self._gate.check(self._target, self._errand, self._permit)
        self._gate.note_sent(self._target)
        self._known = self._remarks.find_word(self._target)

    def hear(self, facts: AnswerFacts) -> None:
        """Note what the answer's head says of the target."""
        if not facts.crossed:
            self._remarks.take(self._target, facts, self._known)
