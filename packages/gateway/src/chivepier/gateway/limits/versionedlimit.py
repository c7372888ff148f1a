"""The rate limit of one incarnation of a target, with its version."""

import attrs


@attrs.frozen(kw_only=True)
class VersionedLimit:
    """A rate limit, ordered after the one that its observer knew.

    :param instance: the target's name
    :param born: start of its incarnation, in Unix milliseconds
    :param version: one more than the version known when the request was sent
        whose answer states the limit
    :param rate: requests per second from all entries; ``None`` for no limit
    :param source: name of the entry that received the answer
    :param seen: time of the answer, in monotonic seconds of this node
    """

    instance: str
    born: int
    version: int
    rate: float | None
    source: str
    seen: float

    def supersedes(self, other: "VersionedLimit") -> bool:
        """Tell whether this limit replaces another one.

        Of concurrent limits the lower rate wins: their order is unknown, and
        the higher rate could harm an overloaded target.

        :param other: a limit of the same instance
        """
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, float]:
        rate = float("inf") if self.rate is None else self.rate
        return (self.born, self.version, -rate)
