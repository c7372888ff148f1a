"""Which fault comes next."""

import collections.abc
import random

Fault = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class FaultDraw:
    """Draws among faults, after those that a test requires.

    Callers draw from the same generator in an order that varies between runs,
    so a required fault might otherwise never be drawn.

    :param rng: random number generator of the run
    :param kinds: the faults to draw from
    """

    def __init__(self, rng: random.Random, kinds: tuple[Fault, ...]):
        self._rng = rng
        self._kinds = kinds
        self._required: list[Fault] = []

    def keep_only(self, kinds: tuple[Fault, ...]) -> None:
        """Restrict the faults: take each once, then draw among them.

        :param kinds: the faults
        """
        self._kinds = kinds
        self._required = list(kinds)

    def draw(self) -> Fault:
        """Return the next fault."""
        if self._required:
            return self._required.pop(0)
        return self._rng.choice(self._kinds)
