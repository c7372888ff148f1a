"""Which instances may be voters."""

import collections.abc


class Peers:
    """Peer addresses from settings and from what other nodes tell.

    Seeds may be stale, and what was learned may be too: both are tried.

    :param seeds: from the settings
    """

    def __init__(self, seeds: collections.abc.Iterable[str]):
        self._seeds = tuple(seeds)
        self._voters: tuple[str, ...] = ()

    def update_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Take seeds from settings that have changed."""
        self._seeds = tuple(seeds)

    def learn(self, voters: collections.abc.Iterable[str]) -> None:
        """Take the voters as another node knows them."""
        self._voters = tuple(voters) or self._voters

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters as last told; empty until then."""
        return self._voters

    @property
    def all(self) -> tuple[str, ...]:
        """Every address worth a try, voters first."""
        return tuple(dict.fromkeys((*self._voters, *self._seeds)))
