"""The cost of a generation at a target."""

from chivepier.gateway.config import Engine
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.load import Load
from chivepier.gateway.targets.loadtracker import LoadTracker
from chivepier.gateway.targets.paceadvisor import PaceAdvisor
from chivepier.gateway.targets.pacesurvey import PaceSurvey
from chivepier.gateway.targets.prefillestimator import PrefillEstimator
from chivepier.gateway.targets.target import Target

# Weight of a prompt token that is still to be read, relative to a token in
# memory. By memory alone, a target that just started would get every prompt.
PREFILL_WEIGHT = 3.0


class GenerationCost:
    """Costs by memory and slots, and by pace where targets report one.

    :param loads: load of the targets over all entries
    :param prefill_estimator: how fast prompts are read
    :param pace_advisor: the paces that targets report
    :param warming_cost: added cost of a target that is warming up
    """

    def __init__(
        self,
        loads: LoadTracker,
        prefill_estimator: PrefillEstimator,
        pace_advisor: PaceAdvisor,
        warming_cost: float,
    ):
        self._loads = loads
        self._prefill_estimator = prefill_estimator
        self._pace_advisor = pace_advisor
        self._warming_cost = warming_cost

    def estimate(
        self,
        target: Target,
        engine: Engine,
        demand: Demand,
        survey: PaceSurvey,
        now: float,
    ) -> float:
        """Return the cost of a generation; 1 is that of a full target.

        :param target: the target
        :param engine: engine settings of its service
        :param demand: size of the generation
        :param survey: the paces of its service
        :param now: current time, in monotonic seconds
        """
        load = self._loads.get_total(target.instance, now)
        tokens = (
            load.tokens
            + demand.near_term_tokens
            + PREFILL_WEIGHT * load.reading
        )
        memory = tokens / engine.memory_tokens
        cost = max(memory, (load.runs + 1) / engine.slots)
        if survey.paces and not self._pace_advisor.is_long_stream(
            engine, demand
        ):
            cost *= survey.get_relative_pace(target.instance)
            cost += self._get_reading_cost(target, load, demand, survey, now)
        if now < target.warm_at:
            cost += self._warming_cost
        return cost

    def _get_reading_cost(
        self,
        target: Target,
        load: Load,
        demand: Demand,
        survey: PaceSurvey,
        now: float,
    ) -> float:
        """Return the time to a short answer's first event in its objectives.

        A short answer is in time or late by the time that its prompt takes,
        which a slow target with free memory may need several times over.
        """
        if demand.objective <= 0:
            return 0.0
        seconds = self._prefill_estimator.estimate(
            target.service,
            load.reading + demand.prompt,
            self._pace_advisor.get_present_pace(target, survey, now),
        )
        return seconds / demand.objective
