"""Errors of sending a request to a target."""

from chivepier.gateway.serving.continuation import Continuation
from chivepier.gateway.serving.piece import Piece
from chivepier.gateway.serving.startestimate import StartEstimate


class NotSentError(Exception):
    """The request was not sent, so it has certainly not run."""


class UnreachableError(NotSentError):
    """No connection to the target could be made.

    :param error: description of the failure
    :param hung: whether the attempt ended by its timeout
    """

    def __init__(self, error: str, hung: bool = False):
        super().__init__(error)
        self.hung = hung


class NotPermittedError(NotSentError):
    """The target must not be called now, see :class:`SendGate`."""


class UnansweredError(Exception):
    """Too few of those who may know have answered in time."""


class NoCapacityError(Exception):
    """No target has capacity while the request can wait.

    :param estimate: when it would have started, as far as known
    :param early: whether it was refused before its time was over
    """

    def __init__(self, estimate: StartEstimate, early: bool):
        super().__init__("no target has capacity in time")
        self.estimate = estimate
        self.early = early


class RateLimitedError(Exception):
    """All remaining targets have a rate limit that is used up.

    :param rate: sum of their rate limits, in requests per second
    """

    def __init__(self, rate: float):
        super().__init__(
            f"rate limit of all targets reached: {rate:g} requests/s"
        )
        self.rate = rate


class AllBackedOffError(Exception):
    """All targets have requested a backoff that is still in force.

    :param seconds: time until the first target may be called, in seconds
    """

    def __init__(self, seconds: float):
        super().__init__(
            f"all targets back off, the first for {seconds:.3f} s"
        )
        self.seconds = seconds


class PlacesTakenError(Exception):
    """All places are taken until after the deadline of a request.

    :param seconds: expected time until one would be free for it, in seconds
    :param reports: the reports that say so, for the log
    """

    def __init__(self, seconds: float, reports: dict[str, str]):
        super().__init__(f"all places are taken for {seconds:.3f} s")
        self.seconds = seconds
        self.reports = reports


class ConnectionLostError(Exception):
    """The connection broke before an answer; the request may have run."""


class BrokenAnswerError(Exception):
    """An answer is incomplete or belongs to another request."""


class ForeignAnswerError(BrokenAnswerError):
    """An answer that came where the rest of a stream was due is none.

    :param verdict: why not
    :param status: its status
    :param signed: whether it bears the signature of a target
    """

    def __init__(self, verdict: Continuation, status: int, signed: bool):
        super().__init__(f"no rest of the stream: {verdict.value}, {status}")
        self.verdict = verdict
        self.status = status
        self.signed = signed


class ForeignPieceError(BrokenAnswerError):
    """A body goes on with what is no part of the series of its stream.

    :param piece: what it is
    :param number: the number that it begins with; ``None`` without one
    :param cuts_event: whether it begins as an event that the caller lacks
    """

    def __init__(self, piece: Piece, number: int | None, cuts_event: bool):
        super().__init__(f"no part of the series: {piece.value}, {number}")
        self.piece = piece
        self.number = number
        self.cuts_event = cuts_event
