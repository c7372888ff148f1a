"""Room that a class of requests leaves free for the more urgent ones."""

import collections.abc
import math

import attrs

from chivepier.gateway.targets import ClassUsage

# Multiple of what more urgent classes take on average: a long generation
# holds its room for as long as a rush takes to come.
AVERAGE_FACTOR = 2.0
# Maximum share of the memory that is kept from a class, which may always use
# the rest.
MAX_KEPT_SHARE = 0.5
# Size of a kept place in usual generations of the class, for larger ones.
PLACE_FACTOR = 1.5
# Maximum size of a place, as a share of a target's memory: rare large
# generations must not make every target too small.
MAX_PLACE_SHARE = 0.5
# Multiple of an equal share of the kept places that counts at one target: a
# target reads only a few prompts at a time.
MAX_TARGET_FACTOR = 2


@attrs.frozen(kw_only=True)
class ClassReserve:
    """Places that stay free for more urgent generations.

    They are counted in whole places, as free room that is spread over many
    targets in small parts is of no use to anyone. Which targets have them is
    left open: other generations end at any of them.

    >>> reserve = ClassReserve(places=3, size=100.0)
    >>> sorted(reserve.select({"a": 250.0, "b": 180.0, "c": 90.0}, 90))
    ['c']
    >>> sorted(reserve.select({"a": 250.0, "b": 190.0, "c": 190.0}, 90))
    ['a', 'b', 'c']
    >>> reserve.select({"a": 150.0, "b": 150.0, "c": 90.0}, 91)
    set()

    :param places: number of generations that must find room
    :param size: tokens of each
    """

    places: int
    size: float

    @property
    def tokens(self) -> float:
        """Room that is kept in all, in tokens."""
        return self.places * self.size

    def select(
        self, free: collections.abc.Mapping[str, float], tokens: int
    ) -> set[str]:
        """Return the targets at which a generation leaves these places.

        :param free: free room of each target, in tokens
        :param tokens: size of the generation that is to be placed
        """
        if sum(free.values()) - tokens < self.tokens:
            return set()
        share = math.ceil(MAX_TARGET_FACTOR * self.places / len(free))
        total = sum(self._count(room, share) for room in free.values())
        return {
            name
            for name, room in free.items()
            if self._fits(room, tokens, total, share)
        }

    def _fits(self, room: float, tokens: int, total: int, share: int) -> bool:
        before = self._count(room, share)
        after = self._count(room - tokens, share)
        # room that is no place is kept from no one
        return after == before or total - before + after >= self.places

    def _count(self, room: float, share: int) -> int:
        return min(share, max(0, int(room // self.size)))


def find_reserve(
    usages: collections.abc.Collection[ClassUsage],
    urgency: int,
    tokens: int,
    target_memory: float,
    targets: int,
) -> ClassReserve | None:
    """Return what a generation must leave free for more urgent classes.

    >>> verdicts = ClassUsage(
    ...     urgency=0, running=1, held=100, average=200.0, size=100.0
    ... )
    >>> streams = ClassUsage(
    ...     urgency=2, running=9, held=9_000, average=9e3, size=1000.0
    ... )
    >>> find_reserve([verdicts, streams], 2, 1_000, 5_000.0, 2)
    ClassReserve(places=2, size=150.0)
    >>> find_reserve([streams], 2, 1_000, 5_000.0, 2) is None
    True

    :param usages: what each class takes
    :param urgency: class of the generation
    :param tokens: size of the generation
    :param target_memory: memory of one target, in tokens
    :param targets: number of targets
    :returns: ``None`` if it may use any free room
    """
    urgent = [usage for usage in usages if usage.urgency < urgency]
    if not urgent:
        return None
    memory = targets * target_memory
    others = sum(u.held for u in usages if u.urgency >= urgency)
    if not others or others + tokens <= (1.0 - MAX_KEPT_SHARE) * memory:
        return None
    average = sum(usage.average for usage in urgent)
    kept = min(AVERAGE_FACTOR * average, MAX_KEPT_SHARE * memory)
    kept -= sum(usage.held for usage in urgent)
    if kept <= 0.0:
        return None
    size = min(
        PLACE_FACTOR * max(usage.size for usage in urgent),
        MAX_PLACE_SHARE * target_memory,
    )
    return ClassReserve(places=math.ceil(kept / size), size=size)
