"""Log lines and counts of what came where the rest of a stream was due."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.errors import ForeignAnswerError
from chivepier.gateway.serving.errors import ForeignPieceError


class ForeignLog:
    """Logs answers and parts of bodies that are no part of their stream.

    :param log: event log of this process
    :param metrics: counts them by reason
    """

    def __init__(self, log: EventLog, metrics: Metrics):
        self._log = log
        self._metrics = metrics

    def write_answer(
        self, request_id: str, source: str, error: ForeignAnswerError
    ) -> None:
        """Log an answer that is no rest of the stream.

        :param request_id: id of the caller's attempt
        :param source: the target or the other entry that sent it
        :param error: what it was
        """
        self._metrics.record_foreign("answer", error.verdict.value)
        self._log.warn(
            "answer_foreign",
            id=request_id,
            source=source,
            reason=error.verdict.value,
            status=error.status,
            signed=error.signed,
        )

    def write_piece(
        self,
        request_id: str,
        source: str,
        after: int | None,
        error: ForeignPieceError,
    ) -> None:
        """Log a part of a body that is no part of its stream.

        :param request_id: id of the caller's attempt
        :param source: the target or the other entry that sent it
        :param after: number of the last event that the caller has
        :param error: what it was
        """
        self._metrics.record_foreign("piece", error.piece.value)
        self._log.warn(
            "piece_foreign",
            id=request_id,
            source=source,
            reason=error.piece.value,
            number=error.number,
            after=after,
        )
