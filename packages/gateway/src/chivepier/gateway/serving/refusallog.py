"""Log lines and counts of targets' refusals, with what they rest on."""

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.headerrecorder import get_backoff_seconds
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.targetanswer import TargetAnswer
from chivepier.gateway.targets import Target


class RefusalLog:
    """Logs why a request counts as refused by its target.

    :param log: event log of this process
    :param metrics: counts refusals by their evidence
    """

    def __init__(self, log: EventLog, metrics: Metrics):
        self._log = log
        self._metrics = metrics

    def write(self, plan: Plan, target: Target, answer: TargetAnswer) -> None:
        """Log one refusal.

        :param plan: the plan of the request
        :param target: the target that it was sent to
        :param answer: the answer to that send
        """
        facts, use = answer.facts, answer.facts.use
        evidence = _describe_evidence(answer)
        self._metrics.record_refusal(evidence)
        self._log.info(
            "refused_by_target",
            id=plan.request.id,
            target=target.instance,
            status=answer.status,
            other=facts.other_instance,
            evidence=evidence,
            connection=use and use.connection,
            earlier_calls=use and use.earlier_calls,
            rest=get_backoff_seconds(facts.backoff),
            leaving=facts.leaving,
        )


def _describe_evidence(answer: TargetAnswer) -> str:
    """Return on what it rests that the target has not run the request."""
    facts = answer.facts
    if facts.other_instance is not None:
        return "misdirected"
    return "stated" if facts.not_run else "status"
