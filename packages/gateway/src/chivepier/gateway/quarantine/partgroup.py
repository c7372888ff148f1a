"""Parts of prompts that are suspected together."""

import collections

import attrs

from chivepier.gateway.quarantine.ending import Ending


@attrs.frozen
class PartGroup:
    """The suspected parts that one request had, and what ended under them.

    Any of the parts may be the cause. Only requests that have all of them are
    held back: one with some of them is answered if these are sound, which
    clears them, and otherwise leaves the others out.

    :param parts: digests of the parts
    :param endings: ends of targets under requests with all of them, oldest
        first
    """

    parts: frozenset[str]
    endings: tuple[Ending, ...]

    def count_for(self, team: str) -> int:
        """Return how many ends count against a team's requests.

        Its own ends count each, those of each other team as one: callers name
        the parts of their prompts themselves, and no single team may have
        another one's requests refused.

        :param team: team of the request; empty if its route requires none
        """
        lives = collections.defaultdict(set)
        for ending in self.endings:
            lives[ending.team].add(ending.incarnation)
        own = len(lives.pop(team, ()))
        return own + len(lives)
