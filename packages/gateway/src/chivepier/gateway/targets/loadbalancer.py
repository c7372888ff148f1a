"""Choice of a target by load."""

import collections.abc
import math
import random

from chivepier.gateway.config import Engine
from chivepier.gateway.limits import BackoffTable
from chivepier.gateway.limits import LimitTable
from chivepier.gateway.targets.avoidance import Avoidance
from chivepier.gateway.targets.decodeestimator import DecodeEstimator
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.destinationcost import DestinationCost
from chivepier.gateway.targets.eligibility import ANY_TARGET
from chivepier.gateway.targets.eligibility import Eligibility
from chivepier.gateway.targets.fit import Fit
from chivepier.gateway.targets.generationcost import GenerationCost
from chivepier.gateway.targets.load import Load
from chivepier.gateway.targets.loadtracker import LoadTracker
from chivepier.gateway.targets.paceadvisor import PaceAdvisor
from chivepier.gateway.targets.paceforecast import PaceForecast
from chivepier.gateway.targets.pacesurvey import PaceSurvey
from chivepier.gateway.targets.prefillestimator import PrefillEstimator
from chivepier.gateway.targets.reportboard import ReportBoard
from chivepier.gateway.targets.requestcost import RequestCost
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.types import Clock

# Targets whose costs differ by less than this from the lowest are equivalent
# and chosen at random: many entries see the same loads and would all choose
# the same target.
TIE_MARGIN = 0.04
# Number of random candidates per generation, of which the best is chosen. A
# target that just started would otherwise get all requests until its load is
# known.
SAMPLE_SIZE = 3
# Added cost of a target that is warming up; 1 is the cost of a full target.
WARMING_COST = 0.2
# Seconds for which the paces of a service are kept for estimates of waits,
# of which each choice makes several.
SURVEY_SECONDS = 0.5
# Fits from the best to the worst.
PREFERENCE = tuple(Fit)
# Maximum share of a target's memory that generations may use, including the
# tokens that they add within the next seconds.
MAX_MEMORY_SHARE = 1.0
# Maximum share of the time objective for reading a prompt and those before it.
# A request that waits at its entry can still go to another target.
MAX_PREFILL_SHARE = 0.5
# Median failure rate of a service's targets above which one failure says
# nothing of its target.
MAX_USUAL_FAILURE_RATE = 0.1


class LoadBalancer:
    """Chooses the target with the most free capacity over all entries.

    ``prefill_estimator`` learns from first events how fast prompts are read,
    ``decode_estimator`` from complete generations how fast tokens come; the
    queue of waiting requests uses the first, ``pace_advisor`` the second.
    ``request_cost`` estimates the times of plain requests, and ``avoidance``
    leaves out targets that could not be reached.

    :param table: known targets
    :param health: health of the targets
    :param loads: load of the targets
    :param zone: availability zone of this node
    :param clock: source of monotonic time
    :param rng: random source for the choice among equivalent targets
    :param limits: rate limits that targets announced; none by default
    :param backoffs: targets that requested a backoff; none by default
    :param reports: what targets report of their load; nothing by default
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        loads: LoadTracker,
        zone: str,
        clock: Clock,
        rng: random.Random,
        limits: LimitTable | None = None,
        backoffs: BackoffTable | None = None,
        reports: ReportBoard | None = None,
    ):
        self._reports = ReportBoard() if reports is None else reports
        self._backoffs = BackoffTable(rng) if backoffs is None else backoffs
        self._limits = LimitTable() if limits is None else limits
        self._table = table
        self._health = health
        self._loads = loads
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self.avoidance = Avoidance(table, health, loads, clock)
        self.prefill_estimator = PrefillEstimator()
        self.decode_estimator = DecodeEstimator()
        self.pace_advisor = PaceAdvisor(self._reports, self.decode_estimator)
        self.generation_cost = GenerationCost(
            loads, self.prefill_estimator, self.pace_advisor, WARMING_COST
        )
        self._destination_cost = DestinationCost(loads, self._limits)
        self.request_cost = RequestCost(self._reports, health, WARMING_COST)
        self._in_flight: dict[str, int] = {}
        self._surveys: dict[str, tuple[float, PaceSurvey]] = {}

    def avoid_failing(self, target: Target) -> None:
        """Avoid a target that failed a generation, where paces are told.

        It ends what it gets at once, so it looks idle and would get more than
        any other until each entry has found out by itself. Where failures are
        usual, avoiding each would leave too few targets.

        :param target: the target; reported to the other entries
        """
        if not self.survey_paces(target.service).paces:
            return
        now = self._clock.monotonic()
        rates = sorted(
            self._health.get_failure_rate(other.instance, now)
            for other in self.select(target.service)
        )
        usual = rates[(len(rates) - 1) // 2] if rates else 0.0
        if usual <= MAX_USUAL_FAILURE_RATE:
            self.avoidance.avoid(target.instance)

    def record_start(self, instance: str) -> None:
        """Count a request that this entry sent to a target."""
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1
        self._reports.note_start(instance, self._clock.monotonic())

    def count_in_flight(self, instance: str) -> int:
        """Return the number of this entry's requests at a target."""
        return self._in_flight.get(instance, 0)

    def record_end(self, instance: str) -> None:
        """Count the end of a request at a target."""
        left = self._in_flight.get(instance, 0) - 1
        if left > 0:
            self._in_flight[instance] = left
        else:
            self._in_flight.pop(instance, None)

    def is_zone_open(self, target: Target) -> bool:
        """Tell whether a target's zone is not evacuated."""
        now = self._clock.monotonic()
        return not self._table.zones.is_evacuated(target.zone, now)

    def choose(
        self,
        service: str,
        engine: Engine | None,
        demand: Demand | None,
        without: collections.abc.Collection[str] = (),
        eligibility: Eligibility = ANY_TARGET,
    ) -> Target | None:
        """Choose a target.

        :param service: name of the service
        :param engine: engine settings if the targets run generations
        :param demand: size of the generation, if one is to be started
        :param without: names of instances to exclude
        :param eligibility: which targets the request may be sent to
        :returns: the target; ``None`` if there is no candidate
        """
        ranked = self.rank(
            service, engine, demand, without, eligibility=eligibility
        )
        return ranked[0] if ranked else None

    def rank(
        self,
        service: str,
        engine: Engine | None,
        demand: Demand | None,
        without: collections.abc.Collection[str] = (),
        exclude_full: bool = False,
        eligibility: Eligibility = ANY_TARGET,
        exclude_unfit: bool = False,
    ) -> list[Target]:
        """Return the targets, the best first; see :meth:`choose`.

        Targets at which a stream would pause for too long come after those
        with room at which it would not.

        :param exclude_full: whether full targets are excluded
        :param eligibility: which targets the request may be sent to
        :param exclude_unfit: whether targets at which the stream would pause
            for too long are excluded, unless it would at all
        """
        now = self._clock.monotonic()
        found = self._select_available(service, now, eligibility)
        healthy = self._exclude_unhealthy(found, without, now)
        survey = PaceSurvey()
        if engine is not None:
            survey = self._survey(service, found, now)
        fits = self.pace_advisor.advise(
            service, healthy, survey, engine, demand
        )
        plain_costs = {}
        if engine is None or demand is None:
            plain_costs = self._get_request_cost(healthy, now)
        groups: dict[tuple[bool, int], dict[str, float]] = {}
        for target in healthy:
            fit = fits.get(target.instance, Fit.FITS)
            full = (exclude_full or bool(fits)) and not self._has_room(
                target, engine, demand, survey, now
            )
            if exclude_full and full or exclude_unfit and fit is Fit.UNFIT:
                continue
            costs = groups.setdefault((full, PREFERENCE.index(fit)), {})
            cost = plain_costs.get(target.instance)
            if cost is None:
                cost = self.generation_cost.estimate(
                    target, engine, demand, survey, now
                )
            costs[target.instance] = cost
        order = {}
        for group, costs in sorted(groups.items()):
            drawn = self._draw_order(costs, sample=engine is not None)
            order.update({name: (group, key) for name, key in drawn.items()})
        chosen = [t for t in healthy if t.instance in order]
        return sorted(chosen, key=lambda t: order[t.instance])

    def survey_paces(self, service: str) -> PaceSurvey:
        """Return the paces that the targets of a service report.

        They may be those of the last choice; see ``SURVEY_SECONDS``.

        :param service: name of the service
        """
        now = self._clock.monotonic()
        at, survey = self._surveys.get(service, (-math.inf, PaceSurvey()))
        if now - at <= SURVEY_SECONDS:
            return survey
        found = self._select_available(service, now, ANY_TARGET)
        return self._survey(service, found, now)

    def forecast(
        self, target: Target, engine: Engine | None, demand: Demand | None
    ) -> PaceForecast:
        """Return what the pace of a chosen target makes of a request.

        :param target: the target
        :param engine: engine settings if the targets run generations
        :param demand: size of the generation, if it is one
        """
        if engine is None:
            return PaceForecast()
        survey = self.survey_paces(target.service)
        return self.pace_advisor.forecast(target, survey, engine, demand)

    def _survey(
        self, service: str, targets: list[Target], now: float
    ) -> PaceSurvey:
        survey = self.pace_advisor.survey(targets, now)
        self._surveys[service] = now, survey
        return survey

    def _exclude_unhealthy(
        self,
        found: list[Target],
        without: collections.abc.Collection[str],
        now: float,
    ) -> list[Target]:
        candidates = [t for t in found if t.instance not in without]
        if not candidates:
            return []
        healthy = self._health.select_healthy(
            [t.instance for t in candidates], now
        )
        return self.avoidance.exclude_avoided(
            [t for t in candidates if t.instance in healthy], now
        )

    def _select_available(
        self,
        service: str,
        now: float,
        eligibility: Eligibility,
    ) -> list[Target]:
        """Return the targets without a backoff."""
        if not self._backoffs:
            return self._table.select(service, now, eligibility)
        return self._table.select(
            service,
            now,
            eligibility,
            lambda target: self._find_delay(target, now) is None,
        )

    def _is_lost(self, target: Target, now: float) -> bool:
        """Tell whether a target is both silent and unreachable."""
        return self._table.is_unheard(target, now) and self._health.is_avoided(
            target.instance, now
        )

    def _find_delay(self, target: Target, now: float) -> float | None:
        return self._backoffs.find_delay(target.instance, target.born, now)

    def select(
        self,
        service: str,
        eligibility: Eligibility = ANY_TARGET,
    ) -> list[Target]:
        """Return the targets that accept requests, including avoided ones.

        :param service: name of the service
        :param eligibility: which targets the request may be sent to
        """
        return self._select_available(
            service, self._clock.monotonic(), eligibility
        )

    def find_shortest_backoff(
        self,
        service: str,
        eligibility: Eligibility = ANY_TARGET,
    ) -> float | None:
        """Return the seconds until a target accepts requests again.

        :param service: name of the service
        :param eligibility: which targets the request may be sent to
        :returns: ``None`` if any target accepts requests now, or if none is
            known
        """
        if not self._backoffs:
            return None
        now = self._clock.monotonic()
        available = self._select_available(service, now, eligibility)
        if not all(self._is_lost(target, now) for target in available):
            return None
        resting = self._table.select(
            service,
            now,
            eligibility,
            lambda target: self._find_delay(target, now) is not None,
        )
        pauses = (self._find_delay(target, now) for target in resting)
        return min(pauses, default=None)

    def choose_destination(
        self,
        service: str,
        engine: Engine,
        tokens: int,
        source: Target,
        without: collections.abc.Collection[str] = (),
        eligibility: Eligibility = ANY_TARGET,
        demand: Demand | None = None,
    ) -> Target | None:
        """Choose the target that a generation's memory is copied to.

        Only free memory counts. There is no prompt to read, so a target that
        just started is the best choice, whatever prompts it reads. A target
        at which the stream would pause for too long is better than none.

        :param service: name of the service
        :param engine: engine settings of the targets
        :param tokens: size of the copy, in tokens
        :param source: current target; its availability zone is preferred
        :param without: names of instances to exclude
        :param eligibility: which targets the generation may go on at
        :param demand: size of the generation, if the paces of targets matter
        :returns: the target; ``None`` if none has enough memory
        """
        now = self._clock.monotonic()
        costs = {}
        found = self._select_available(service, now, eligibility)
        healthy = self._exclude_unhealthy(found, without, now)
        survey = self._survey(service, found, now)
        fits = self.pace_advisor.advise(
            service, healthy, survey, engine, demand
        )
        for target in healthy:
            load = self._loads.get_total(target.instance, now)
            held = (load.tokens + tokens) / engine.memory_tokens
            if held <= MAX_MEMORY_SHARE:
                costs[target.instance] = self._destination_cost.estimate(
                    source, target, held, fits.get(target.instance), now
                )
        if not costs:
            return None
        order = self._draw_order(costs, sample=False)
        return self._table.get(min(costs, key=lambda name: order[name]))

    def _draw_order(
        self, costs: dict[str, float], sample: bool
    ) -> dict[str, tuple[bool, float]]:
        """Return the sort key of each target."""
        least = min(costs.values())
        names = list(costs)
        first = set(names)
        if sample and len(names) > SAMPLE_SIZE:
            first = set(self._rng.sample(names, SAMPLE_SIZE))
        return {
            name: (
                name not in first,
                (
                    self._rng.random()
                    if cost <= least + TIE_MARGIN
                    else 1.0 + cost
                ),
            )
            for name, cost in costs.items()
        }

    def has_room(self, target: Target, engine: Engine, demand: Demand) -> bool:
        """Tell whether a target has memory and time for one more generation.

        Includes the growth of running generations within the next seconds. A
        target that runs out of memory preempts the newest generation and later
        reads it again.
        """
        now = self._clock.monotonic()
        survey = self.survey_paces(target.service)
        return self._has_room(target, engine, demand, survey, now)

    def _has_room(
        self,
        target: Target,
        engine: Engine,
        demand: Demand,
        survey: PaceSurvey,
        now: float,
    ) -> bool:
        load = self._loads.get_total(target.instance, now)
        if (
            load.tokens + demand.near_term_tokens
            > MAX_MEMORY_SHARE * engine.memory_tokens
        ):
            return False
        if not load.reading:
            return True
        seconds = self.prefill_estimator.estimate(
            target.service,
            load.reading + demand.prompt,
            self.pace_advisor.get_present_pace(target, survey, now),
        )
        return seconds <= MAX_PREFILL_SHARE * demand.objective

    def find_load(self, instance: str) -> Load:
        """Return the load of a target over all entries."""
        return self._loads.get_total(instance, self._clock.monotonic())

    def count_fitting(
        self,
        service: str,
        engine: Engine,
        demand: Demand,
        eligibility: Eligibility = ANY_TARGET,
    ) -> int:
        """Count how many more generations of a size fit into memory.

        :param service: name of the service
        :param engine: engine settings of the targets
        :param demand: size of each generation
        :param eligibility: which targets they may be sent to
        """
        now = self._clock.monotonic()
        fitting = 0
        for target in self._select_available(service, now, eligibility):
            tokens = self._loads.get_total(target.instance, now).tokens
            spare = max(0.0, MAX_MEMORY_SHARE * engine.memory_tokens - tokens)
            fitting += int(spare // max(1, demand.near_term_tokens))
        return fitting

    def list_free(
        self,
        service: str,
        engine: Engine,
        eligibility: Eligibility = ANY_TARGET,
    ) -> dict[str, float]:
        """Return the free memory of each target, in tokens.

        :param service: name of the service
        :param engine: engine settings of the targets
        :param eligibility: which targets count
        """
        now = self._clock.monotonic()
        memory = MAX_MEMORY_SHARE * engine.memory_tokens
        return {
            target.instance: max(
                0.0,
                memory - self._loads.get_total(target.instance, now).tokens,
            )
            for target in self._select_available(service, now, eligibility)
        }

    def count_leaving(self, service: str) -> int:
        """Count the generations whose target leaves.

        :param service: name of the service
        """
        now = self._clock.monotonic()
        return sum(
            self._loads.get_total(target.instance, now).runs
            for target in self._table.select_leaving(service)
        )

    def _get_request_cost(
        self, targets: list[Target], now: float
    ) -> dict[str, float]:
        return self.request_cost.estimate(targets, self._in_flight, now)
