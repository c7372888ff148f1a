"""Choosing a target."""

import collections.abc
import random

from chivepier.gateway.config import Engine
from chivepier.gateway.limits import LimitBoard
from chivepier.gateway.limits import RestBoard
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.load import Load
from chivepier.gateway.targets.loadtracker import LoadTracker
from chivepier.gateway.targets.prefillestimator import PrefillEstimator
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.types import Clock

# Choices that differ by less than this share of a target are drawn among: many
# entries see the same loads and would all pick one.
TIE_MARGIN = 0.04
# Targets that are drawn for each generation, of which the best is taken: one
# that has just started would get all that comes before its load is known.
SAMPLE_SIZE = 3
# What a token of a prompt that is still to be read counts as: by memory alone,
# a target that has just started would get every prompt.
PREFILL_WEIGHT = 3.0
# What a target that still warms up counts as, in shares of a full one.
WARMING_COST = 0.2
# What another availability zone counts as when memory is moved, in shares of a
# target for each second that is still to be copied off the source.
OTHER_ZONE_COST_PER_SECOND = 0.4
# What a target counts as for each copy that it receives already, as copies
# share its link.
RECEIVING_COST = 0.5
# What a target in need counts as when memory is moved, in shares of a full
# one: more than any other, as the generation would have to wait for its turn.
RATE_LIMITED_COST = 10.0
# Generations may fill a target up to this share of its memory, each with what
# it adds within some seconds.
MAX_MEMORY_SHARE = 1.0
# Share of its objective that a prompt may take to be read at a target, with
# those before it. What waits at its entry can still go elsewhere.
MAX_PREFILL_SHARE = 0.5
# Entries whose word makes the others avoid a target; of fewer, each may have
# lost its own link.
MIN_AVOIDING_ENTRIES = 3


class LoadBalancer:
    """Picks the target with the most room, by loads of all entries.

    ``pace`` learns from first events how fast prompts are read; what bounds
    and orders waiting requests asks it too.

    :param table: the targets
    :param health: how they answered
    :param board: what runs where
    :param zone: this node's availability zone
    :param clock: monotonic time
    :param rng: draws among equals
    :param limits: what targets in need take; nothing bounds it by default
    :param rests: which targets get nothing for a while; none by default
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        board: LoadTracker,
        zone: str,
        clock: Clock,
        rng: random.Random,
        limits: LimitBoard | None = None,
        rests: RestBoard | None = None,
    ):
        self._rests = RestBoard(rng) if rests is None else rests
        self._limits = LimitBoard() if limits is None else limits
        self._table = table
        self._health = health
        self._loads = board
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self.prefill_estimator = PrefillEstimator()
        self._in_flight: dict[str, int] = {}

    def avoid_unreachable(self, instance: str) -> None:
        """Note that a target could not be reached or fell silent.

        :param instance: that this entry avoids for a while; the others are
            told
        """
        now = self._clock.monotonic()
        self._loads.avoid(
            instance, self._health.record_unreachable(instance, now)
        )

    def record_start(self, instance: str) -> None:
        """Note that this entry sent a request to a target."""
        self._in_flight[instance] = self._in_flight.get(instance, 0) + 1

    def record_end(self, instance: str) -> None:
        """Note that a request there has ended."""
        left = self._in_flight.get(instance, 0) - 1
        if left > 0:
            self._in_flight[instance] = left
        else:
            self._in_flight.pop(instance, None)

    def is_zone_open(self, target: Target) -> bool:
        """Tell whether anything may be sent to a target's zone."""
        now = self._clock.monotonic()
        return not self._table.zones.is_evacuated(target.zone, now)

    def choose(
        self,
        service: str,
        engine: Engine | None,
        demand: Demand | None,
        without: collections.abc.Collection[str] = (),
        regions: collections.abc.Collection[str] | None = None,
    ) -> Target | None:
        """Pick a target.

        :param service: whose targets
        :param engine: set when they run generations
        :param demand: the generation's size, where one is to be run
        :param without: instances that must not be picked
        :param regions: that the request may reach; ``None`` for all
        :returns: the target; ``None`` when there is none left
        """
        ranked = self.rank(service, engine, demand, without, regions=regions)
        return ranked[0] if ranked else None

    def rank(
        self,
        service: str,
        engine: Engine | None,
        demand: Demand | None,
        without: collections.abc.Collection[str] = (),
        roomy: bool = False,
        regions: collections.abc.Collection[str] | None = None,
    ) -> list[Target]:
        """Order the targets, the best one first; see :meth:`choose`.

        :param roomy: whether full targets are left out
        :param regions: that the request may reach; ``None`` for all
        """
        now = self._clock.monotonic()
        healthy = self._select_healthy(service, without, now, regions)
        costs = {
            t.instance: self._get_cost(t, engine, demand, now)
            for t in healthy
            if not roomy or self.has_room(t, engine, demand)
        }
        if not costs:
            return []
        order = self._draw_order(costs, sample=engine is not None)
        chosen = [t for t in healthy if t.instance in order]
        return sorted(chosen, key=lambda t: order[t.instance])

    def _select_healthy(
        self,
        service: str,
        without: collections.abc.Collection[str],
        now: float,
        regions: collections.abc.Collection[str] | None,
    ) -> list[Target]:
        found = self._select_not_resting(service, now, regions)
        candidates = [t for t in found if t.instance not in without]
        if not candidates:
            return []
        healthy = self._health.select_healthy(
            [t.instance for t in candidates], now
        )
        return self._exclude_avoided(
            [t for t in candidates if t.instance in healthy], now
        )

    def _select_not_resting(
        self,
        service: str,
        now: float,
        regions: collections.abc.Collection[str] | None,
    ) -> list[Target]:
        """Return the targets without those that asked for rest."""
        found = self._table.select(service, now, regions)
        if not self._rests:
            return found
        return [t for t in found if self._find_rest(t, now) is None]

    def _find_rest(self, target: Target, now: float) -> float | None:
        return self._rests.find_pause(target.instance, target.born, now)

    def select(
        self,
        service: str,
        regions: collections.abc.Collection[str] | None = None,
    ) -> list[Target]:
        """Return the targets that may be sent to, avoided ones included.

        :param service: whose targets
        :param regions: that the request may reach; ``None`` for all
        """
        return self._select_not_resting(
            service, self._clock.monotonic(), regions
        )

    def find_shortest_rest(
        self,
        service: str,
        regions: collections.abc.Collection[str] | None = None,
    ) -> float | None:
        """Return the seconds until a target is back, where all are at rest.

        :param service: whose targets
        :param regions: that the request may reach; ``None`` for all
        :returns: ``None`` where any may be sent something now, or none is
            known
        """
        if not self._rests:
            return None
        now = self._clock.monotonic()
        found = self._table.select(service, now, regions)
        pauses = [self._find_rest(target, now) for target in found]
        if not pauses or None in pauses:
            return None
        return min(pauses)

    def _exclude_avoided(self, targets: list[Target], now: float) -> list:
        """Leave out what several entries avoid, more than the others.

        Entries that are cut off avoid all targets: the least avoided one
        counts as sound.
        """
        counts = [self._loads.count_avoiding(t.instance, now) for t in targets]
        most = min(counts) + MIN_AVOIDING_ENTRIES
        return [t for t, count in zip(targets, counts) if count < most]

    def choose_destination(
        self,
        service: str,
        engine: Engine,
        tokens: int,
        source: Target,
        without: collections.abc.Collection[str] = (),
        regions: collections.abc.Collection[str] | None = None,
    ) -> Target | None:
        """Pick the target that a generation's memory is copied to.

        Only memory counts: there is no prompt to be read, so a target that
        has just started is the best place, whatever it reads.

        :param service: whose targets
        :param engine: what they can do
        :param tokens: of the copy
        :param source: where it runs; its availability zone is preferred
        :param without: instances that must not be picked
        :param regions: that the generation may reach; ``None`` for all
        :returns: the target; ``None`` when none has room
        """
        now = self._clock.monotonic()
        far_cost = (
            OTHER_ZONE_COST_PER_SECOND
            * self._loads.get_pending_copy_seconds(source.instance, now)
        )
        costs = {}
        for target in self._select_healthy(service, without, now, regions):
            load = self._loads.get_total(target.instance, now)
            held = (load.tokens + tokens) / engine.memory_tokens
            if held <= MAX_MEMORY_SHARE:
                far = 0.0 if target.zone == source.zone else far_cost
                costs[target.instance] = (
                    held
                    + far
                    + RECEIVING_COST * load.receiving
                    + self._get_rate_limit_cost(target)
                )
        if not costs:
            return None
        order = self._draw_order(costs, sample=False)
        return self._table.get(min(costs, key=lambda name: order[name]))

    def _get_rate_limit_cost(self, target: Target) -> float:
        rate = self._limits.find_rate(target.instance, target.born)
        return 0.0 if rate is None else RATE_LIMITED_COST

    def _draw_order(
        self, costs: dict[str, float], sample: bool
    ) -> dict[str, tuple[bool, float]]:
        """Return what the targets are sorted by."""
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

    def _get_cost(
        self,
        target: Target,
        engine: Engine | None,
        demand: Demand | None,
        now: float,
    ) -> float:
        if engine is None or demand is None:
            return self._get_request_cost(target, now)
        return self._get_generation_cost(target, engine, demand, now)

    def has_room(self, target: Target, engine: Engine, demand: Demand) -> bool:
        """Tell whether all there fits for some seconds, one more included.

        A target that has room now may not have it when what runs there has
        grown: it then preempts the newest, and reads it in again.
        """
        now = self._clock.monotonic()
        load = self._loads.get_total(target.instance, now)
        if (
            load.tokens + demand.near_term_tokens
            > MAX_MEMORY_SHARE * engine.memory_tokens
        ):
            return False
        if not load.reading:
            return True
        seconds = self.prefill_estimator.estimate(
            target.service, load.reading + demand.prompt
        )
        return seconds <= MAX_PREFILL_SHARE * demand.objective

    def find_load(self, instance: str) -> Load:
        """Return what all entries run at a target."""
        return self._loads.get_total(instance, self._clock.monotonic())

    def count_free_places(
        self,
        service: str,
        engine: Engine,
        demand: Demand,
        regions: collections.abc.Collection[str] | None = None,
    ) -> int:
        """Count how many more generations of a size find room.

        :param service: whose targets
        :param engine: what they can do
        :param demand: the size of each
        :param regions: that they may reach; ``None`` for all
        """
        now = self._clock.monotonic()
        places = 0
        for target in self._select_not_resting(service, now, regions):
            tokens = self._loads.get_total(target.instance, now).tokens
            spare = max(0.0, MAX_MEMORY_SHARE * engine.memory_tokens - tokens)
            places += int(spare // max(1, demand.near_term_tokens))
        return places

    def count_leaving(self, service: str) -> int:
        """Count the generations whose target leaves.

        :param service: whose targets
        """
        now = self._clock.monotonic()
        return sum(
            self._loads.get_total(target.instance, now).runs
            for target in self._table.select_leaving(service)
        )

    def _get_request_cost(self, target: Target, now: float) -> float:
        busy = self._in_flight.get(target.instance, 0) / max(1, target.slots)
        cost = busy + self._health.get_latency_ratio(target.instance, now)
        if now < target.warm_at:
            cost += WARMING_COST
        return cost

    def _get_generation_cost(
        self, target: Target, engine: Engine, demand: Demand, now: float
    ) -> float:
        load = self._loads.get_total(target.instance, now)
        tokens = (
            load.tokens
            + demand.near_term_tokens
            + PREFILL_WEIGHT * load.reading
        )
        memory = tokens / engine.memory_tokens
        cost = max(memory, (load.runs + 1) / engine.slots)
        if now < target.warm_at:
            cost += WARMING_COST
        return cost
