"""Time as an interface."""

import abc
import datetime


class Clock(abc.ABC):
    """Where time comes from; tests and benchmarks pass their own.

    Leases use :meth:`monotonic` only: a step of the wall clock must not
    prolong or end one.
    """

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never steps."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall clock's time, in UTC."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Return after ``seconds`` have passed on this clock."""
