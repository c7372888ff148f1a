"""Log lines and counts of what came where the rest of a stream was due."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.errors import ForeignAnswerError


class ForeignLog:
    """Logs answers that are no rest of their stream.

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
