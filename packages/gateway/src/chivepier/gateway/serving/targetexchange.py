"""One call to a target: the request and the head of its answer."""

import collections.abc

from chivepier.gateway.limits import VersionedLimit
from chivepier.gateway.permits import Permit
from chivepier.gateway.reach import Reach
from chivepier.gateway.serving.answerfacts import AnswerFacts
from chivepier.gateway.serving.callpurpose import CallPurpose
from chivepier.gateway.serving.headerrecorder import HeaderRecorder
from chivepier.gateway.serving.sendgate import SendGate
from chivepier.gateway.targets import Target

IsHeld = collections.abc.Callable[[], bool]


def never_held() -> bool:
    """Tell that a call carries no request that could be quarantined."""
    return False


class TargetExchange:
    """Checks a call before its first byte and records the answer's head.

    :param target: the target that is called
    :param purpose: why it is called
    :param permit: the permit to call it
    :param gate: decides what may be sent to which target
    :param recorder: records what answer heads report
    :param reach: records new connections
    :param is_held: tells whether the request is quarantined
    :ivar begun: whether a connection was there for it
    """

    def __init__(
        self,
        target: Target,
        purpose: CallPurpose,
        permit: Permit,
        gate: SendGate,
        recorder: HeaderRecorder,
        reach: Reach,
        is_held: IsHeld = never_held,
    ):
        self.begun = False
        self._reach = reach
        self._is_held = is_held
        self._target = target
        self._purpose = purpose
        self._permit = permit
        self._gate = gate
        self._recorder = recorder
        self._known_limit: VersionedLimit | None = None

    def note_connected(self) -> None:
        """Record that a new connection to the target was made."""
        self._reach.note_reached(self._target)

    def check(self) -> None:
        """Check whether the call may be made.

        :raises NotPermittedError: when the target must not be called now
        """
        self._check_quarantine()
        self._gate.check(self._target, self._purpose, self._permit)

    def _check_quarantine(self) -> None:
        if self._is_held():
            self._gate.refuse("quarantine")

    def begin(self) -> None:
        """Check again, now that the connection is established.

        :raises NotPermittedError: when the target must not be called now
        """
        self.begun = True
        self.check()
        self._gate.note_sent(self._target)
        self._known_limit = self._recorder.find_limit(self._target)

    def confirm(self) -> None:
        """Check again, right before the first byte of the body.

        :raises NotPermittedError: when the target must not be called any more
        """
        self._check_quarantine()
        self._gate.confirm(self._target, self._purpose, self._permit)

    def record_head(self, facts: AnswerFacts) -> None:
        """Record what the head of the answer reports of the target."""
        self._reach.note_answered(self._target)
        if not facts.mismatched:
            self._recorder.record(self._target, facts, self._known_limit)

    def record_excess(self, kind: str) -> None:
        """Record that the connection was ended for what the target sent."""
        self._recorder.record_excess(self._target, kind)
