"""Choosing a target."""

import collections.abc
import random

from chivepier.gateway.config import Engine
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.loadboard import LoadBoard
from chivepier.gateway.targets.target import Target
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.targettable import TargetTable
from chivepier.types import Clock

# Choices that differ by less than this share of a target count as equal and
# are drawn among: many entries see the same loads and would all pick one.
NEAR = 0.04
# A token of a prompt that is still to be read in counts as so many that are
# in memory. A target that has just started has the most room, and by memory
# alone would get every prompt of all entries, each held up by those before
# it; with this it gets two before the others are preferred.
READING_WEIGHT = 3.0
# What a target that still warms up counts as, in shares of a full one.
WARMING_COST = 0.2
# What another availability zone counts as when memory is moved: the copy
# takes twice as long there, and the notice may not last for it.
FAR_COST = 0.15
# New generations may fill a target up to this share of its memory, each
# counted with what it is expected to take in the end.
FULL_SHARE = 1.0
# Copies may fill a target up to this share only: beyond, a copy would take
# the memory that generations of other callers need soon.
BACKUP_SHARE = 0.6


class Chooser:
    """Picks the target with the most room, by loads of all entries.

    :param table: the targets
    :param health: how they answered
    :param board: what runs where
    :param zone: this node's availability zone
    :param clock: monotonic time
    :param rng: draws among equals
    """

    def __init__(
        self,
        table: TargetTable,
        health: TargetHealth,
        board: LoadBoard,
        zone: str,
        clock: Clock,
        rng: random.Random,
    ):
        self._table = table
        self._health = health
        self._board = board
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._busy: dict[str, int] = {}

    def begin(self, instance: str) -> None:
        """Note that this entry sent a request to a target."""
        self._busy[instance] = self._busy.get(instance, 0) + 1

    def end(self, instance: str) -> None:
        """Note that a request there has ended."""
        left = self._busy.get(instance, 0) - 1
        if left > 0:
            self._busy[instance] = left
        else:
            self._busy.pop(instance, None)

    def choose(
        self,
        service: str,
        engine: Engine | None,
        demand: Demand | None,
        without: collections.abc.Collection[str] = (),
        near: str = "",
    ) -> Target | None:
        """Pick a target.

        :param service: whose targets
        :param engine: set when they run generations
        :param demand: the generation's size, where one is to be run
        :param without: instances that must not be picked
        :param near: the availability zone that is preferred
        :returns: the target; ``None`` when there is none left
        """
        ranked = self.rank(service, engine, demand, without, near)
        return ranked[0] if ranked else None

    def rank(
        self,
        service: str,
        engine: Engine | None,
        demand: Demand | None,
        without: collections.abc.Collection[str] = (),
        near: str = "",
    ) -> list[Target]:
        """Order the targets, the best one first; see :meth:`choose`."""
        now = self._clock.monotonic()
        found = self._table.select(service, now)
        candidates = [t for t in found if t.instance not in without]
        if not candidates:
            return []
        sound = self._health.pick_sound([t.instance for t in candidates], now)
        costs = {
            t.instance: self._cost(t, engine, demand, near, now)
            for t in candidates
            if t.instance in sound
        }
        least = min(costs.values())
        drawn = {
            name: self._rng.random() if cost <= least + NEAR else 1.0 + cost
            for name, cost in costs.items()
        }
        chosen = [t for t in candidates if t.instance in drawn]
        return sorted(chosen, key=lambda t: drawn[t.instance])

    def _cost(
        self,
        target: Target,
        engine: Engine | None,
        demand: Demand | None,
        near: str,
        now: float,
    ) -> float:
        if engine is None or demand is None:
            return self._cost_plain(target, now)
        cost = self._cost_engine(target, engine, demand, now)
        return cost + (FAR_COST if near and target.zone != near else 0.0)

    def has_room(self, target: Target, engine: Engine, demand: Demand) -> bool:
        """Tell whether all there fits in the end, one more included.

        A target that has room now may not have it when what runs there has
        grown: it then preempts the newest, and reads it in again.
        """
        now = self._clock.monotonic()
        tokens = self._board.total(target.instance, now).tokens
        return tokens + demand.tokens <= FULL_SHARE * engine.memory_tokens

    def choose_backup(
        self, service: str, engine: Engine, demand: Demand, target: Target
    ) -> Target | None:
        """Pick the target that keeps a growing copy of a generation.

        :param service: whose targets
        :param engine: what they can do
        :param demand: the generation's size
        :param target: where it runs
        :returns: the target; ``None`` when no other has room to spare
        """
        found = self.choose(
            service, engine, demand, {target.instance}, near=target.zone
        )
        if found is None:
            return None
        now = self._clock.monotonic()
        tokens = self._board.total(found.instance, now).tokens
        room = BACKUP_SHARE * engine.memory_tokens
        return found if tokens + demand.tokens <= room else None

    def _cost_plain(self, target: Target, now: float) -> float:
        busy = self._busy.get(target.instance, 0) / max(1, target.slots)
        cost = busy + self._health.slowness(target.instance, now)
        if now < target.warm_at:
            cost += WARMING_COST
        return cost

    def _cost_engine(
        self, target: Target, engine: Engine, demand: Demand, now: float
    ) -> float:
        load = self._board.total(target.instance, now)
        tokens = load.tokens + demand.tokens + READING_WEIGHT * load.reading
        memory = tokens / engine.memory_tokens
        cost = max(memory, (load.runs + 1) / engine.slots)
        if now < target.warm_at:
            cost += WARMING_COST
        return cost
