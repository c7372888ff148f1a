"""One exchange with a target."""

from chivepier.gateway.limits import LimitWord
from chivepier.gateway.permits import Permit
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.headerrecorder import HeaderRecorder
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.targets import Target


class TargetExchange:
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
        purpose: CallPurpose,
        permit: Permit,
        gate: SendGate,
        recorder: HeaderRecorder,
    ):
        self._target = target
        self._purpose = purpose
        self._permit = permit
        self._gate = gate
        self._recorder = recorder
        self._known_limit: LimitWord | None = None

    def begin(self) -> None:
        """Look once more, with the connection standing.

        :raises NotPermittedError: when nothing must be sent now
        """
        self._gate.check(self._target, self._purpose, self._permit)
        self._gate.note_sent(self._target)
        self._known_limit = self._recorder.find_limit(self._target)

    def record_head(self, facts: AnswerFacts) -> None:
        """Note what the answer's head says of the target."""
        if not facts.mismatched:
            self._recorder.record(self._target, facts, self._known_limit)
