"""Addresses of instances that may be voters."""

import collections.abc


class Peers:
    """Peer addresses from the settings and from other nodes.

    Both sources may be stale, so addresses from both are tried.

    :param seeds: peer addresses from the settings
    """

    def __init__(self, seeds: collections.abc.Iterable[str]):
        self._seeds = tuple(seeds)
        self._voters: tuple[str, ...] = ()

    def update_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def learn(self, voters: collections.abc.Iterable[str]) -> None:
        """Replace the voters by those that another node knows, if any."""
        self._voters = tuple(voters) or self._voters

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters last learned; empty if there were none."""
        return self._voters

    @property
    def all(self) -> tuple[str, ...]:
        """All addresses of possible voters, known voters first."""
        return tuple(dict.fromkeys((*self._voters, *self._seeds)))
