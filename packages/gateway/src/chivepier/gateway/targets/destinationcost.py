"""The cost of a target as the destination of a generation's memory."""

from chivepier.gateway.limits import LimitTable
from chivepier.gateway.targets.fit import Fit
from chivepier.gateway.targets.loadtracker import LoadTracker
from chivepier.gateway.targets.target import Target

# Added cost of a destination in another availability zone, per second of
# copies that are still to be made from the source.
OTHER_ZONE_COST_PER_SECOND = 0.4
# Added cost per copy that a destination already receives, as copies share its
# link.
RECEIVING_COST = 0.5
# Added cost of a rate-limited destination: it is the last choice, as the
# generation would have to wait for its turn.
RATE_LIMITED_COST = 10.0
# Added cost of a destination where a stream would pause for too long: a copy
# there is better than one that waits behind four others.
UNFIT_COST = 2.0
# Added cost of a destination whose pace isn't known yet.
UNKNOWN_COST = 0.5


class DestinationCost:
    """Weighs memory, links, rate limits and paces of a destination.

    :param loads: load of the targets
    :param limits: rate limits that targets announced
    """

    def __init__(self, loads: LoadTracker, limits: LimitTable):
        self._loads = loads
        self._limits = limits

    def estimate(
        self,
        source: Target,
        target: Target,
        held: float,
        fit: Fit | None,
        now: float,
    ) -> float:
        """Return the cost of a destination; 1 is that of a full target.

        :param source: the target that the generation leaves
        :param target: the destination
        :param held: share of its memory that is held with the copy
        :param fit: whether the stream keeps its objective there, if known
        :param now: current time, in monotonic seconds
        """
        far = 0.0
        if target.zone != source.zone:
            pending = self._loads.get_pending_copy_seconds(
                source.instance, now
            )
            far = OTHER_ZONE_COST_PER_SECOND * pending
        receiving = self._loads.get_total(target.instance, now).receiving
        rate = self._limits.find_rate(target.instance, target.born)
        return (
            held
            + far
            + RECEIVING_COST * receiving
            + (0.0 if rate is None else RATE_LIMITED_COST)
            + _get_fit_cost(fit)
        )


def _get_fit_cost(fit: Fit | None) -> float:
    match fit:
        case Fit.UNFIT:
            return UNFIT_COST
        case Fit.UNKNOWN:
            return UNKNOWN_COST
        case _:
            return 0.0
