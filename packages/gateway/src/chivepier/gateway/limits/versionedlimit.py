"""What is believed of the rate that one life of a target takes."""

import attrs


@attrs.frozen(kw_only=True)
class VersionedLimit:
    """One belief, ordered after those that its finder knew.

    :param instance: the target's name
    :param born: start of its life, in Unix milliseconds
    :param version: one more than that of the word that was known when the
        request was sent whose answer says so
    :param rate: requests a second from all entries; ``None`` for no limit
    :param source: entry that was answered so
    :param seen: when, in monotonic seconds of this node
    """

    instance: str
    born: int
    version: int
    rate: float | None
    source: str
    seen: float

    def supersedes(self, other: "VersionedLimit") -> bool:
        """Tell whether this word is to be believed rather than another.

        Of words that did not know of each other the lower rate counts: which
        answer was the later one can't be told, and a target in need is hurt
        by the higher.

        :param other: about the same instance
        """
        return self._rank() > other._rank()

    def _rank(self) -> tuple[int, int, float]:
        rate = float("inf") if self.rate is None else self.rate
        return (self.born, self.version, -rate)
