"""Metadata in the head of an answer."""

import attrs

from chivepier.gateway.limits import Backoff
from chivepier.gateway.limits import Limit
from chivepier.gateway.limits import NoBackoff
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.serving.connectionuse import ConnectionUse
from chivepier.gateway.targets import InvalidReport
from chivepier.gateway.targets import ReportedLoad


@attrs.frozen(kw_only=True)
class AnswerFacts:
    """Metadata that was parsed from the head of an answer.

    :param not_run: whether the target states that it did not run the request
    :param implies_not_run: whether callers take its status for that statement
    :param other_instance: name of the instance that answered instead of the
        target, empty if unknown; ``None`` if the target answered
    :param mismatched: whether the answer names another request, or none
        though it should
    :param use: what the connection carried before; ``None`` if not known
    :param framed: whether the head tells where the body ends; otherwise the
        end of the connection ends it
    :param vouched: whether another entry had its end by word of a target
        alone, or does not tell
    :param signed: whether it bears the signature of a target
    :param may_be_events: whether its body may be a series of events
    :param declares_events: whether it is declared to be one
    :param coded: whether its body has a content coding
    :param limit: rate limit of the target; ``None`` if answers of this kind
        carry none
    :param backoff: the backoff that the target requests from this entry
    :param leaving: whether the target announces that it leaves
    :param load: what the target reports of its own load; ``None`` if nothing
    :param turned_away: whether the target refused the request, as far as its
        status tells
    :param max_refusals: refusals within a second at more of which the target
        ends; ``None`` if it bears any number
    :param unknown_headers: names of headers that are not understood
    """

    not_run: bool = False
    implies_not_run: bool = False
    other_instance: str | None = None
    mismatched: bool = False
    use: ConnectionUse | None = None
    framed: bool = True
    vouched: bool = False
    signed: bool = True
    may_be_events: bool = True
    declares_events: bool = False
    coded: bool = False
    limit: Limit | None = NoLimit()
    backoff: Backoff = NoBackoff()
    leaving: bool = False
    load: ReportedLoad | InvalidReport | None = None
    turned_away: bool = False
    max_refusals: float | None = None
    unknown_headers: tuple[str, ...] = ()

    @property
    def tells_not_run(self) -> bool:
        """Whether all that callers act on is in the head: it has not run."""
        refused = self.not_run or self.implies_not_run
        return refused or self.other_instance is not None

    @property
    def proves_end(self) -> bool:
        """Whether a target's length or chunks tell where the body ends."""
        return self.framed and not self.vouched
