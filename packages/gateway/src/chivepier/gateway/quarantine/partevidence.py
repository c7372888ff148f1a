"""Evidence against the parts that prompts share."""

import collections
import collections.abc

from chivepier.gateway.quarantine.ending import Ending
from chivepier.gateway.quarantine.incarnation import Incarnation
from chivepier.gateway.quarantine.partgroup import PartGroup
from chivepier.gateway.quarantine.suspects import IncarnationsByDigest
from chivepier.gateway.quarantine.suspects import MIN_ENDINGS


class PartEvidence:
    """Ends of targets by the parts of the prompts that ran there.

    A part may end each target that begins to answer a prompt with it, and no
    two of these requests need be alike. A part is suspected if three targets
    ended under it, unless one request or a more suspicious part was there
    each time, too.

    >>> evidence = PartEvidence()
    >>> for other in "xyz":
    ...     life, parts = Incarnation(f"i-{other}", 0), (other, "p")
    ...     evidence.add(
    ...         Ending(f"d-{other}", life, 5.0, "e1", "told", parts=parts)
    ...     )
    >>> evidence.update({})
    >>> [sorted(group.parts) for group in evidence.groups]
    [['p']]

    :ivar groups: the suspected parts, as requests had them
    """

    def __init__(self) -> None:
        self.groups: tuple[PartGroup, ...] = ()
        self._endings: dict[str, dict[tuple[str, Incarnation], Ending]] = {}
        self._suspects: frozenset[str] = frozenset()

    def count(self, part: str) -> int:
        """Return the number of endings that count against a part."""
        return len(self._endings.get(part, ()))

    def find_endings(self, part: str) -> list[Ending]:
        """Return the endings that count against a part."""
        return list(self._endings.get(part, {}).values())

    def add(self, ending: Ending) -> None:
        """Count an ending against each of its parts."""
        for part in ending.parts:
            known = self._endings.setdefault(part, {})
            known[(ending.digest, ending.incarnation)] = ending

    def remove(self, ending: Ending) -> None:
        """Count an ending against none of its parts any more."""
        for part in ending.parts:
            known = self._endings[part]
            del known[(ending.digest, ending.incarnation)]
            if not known:
                del self._endings[part]

    def find_groups(
        self, parts: collections.abc.Collection[str], team: str
    ) -> list[PartGroup]:
        """Return the suspected parts for which a request is held back.

        :param parts: digests of the shared parts of its prompt
        :param team: team of its caller; empty if its route requires none
        """
        if self._suspects.isdisjoint(parts):
            return []
        return [
            group
            for group in self.groups
            if group.parts.issubset(parts)
            and group.count_for(team) >= MIN_ENDINGS
        ]

    def update(self, requests: IncarnationsByDigest) -> None:
        """Judge all parts again.

        :param requests: what ended under each request with enough endings to
            be suspected itself
        """
        found = self._find_suspects(requests)
        if found or self._suspects:
            self._suspects = frozenset(found)
            self.groups = tuple(self._form_groups())

    def _find_suspects(self, requests: IncarnationsByDigest) -> set[str]:
        """Take causes by the number of ends that no other one explains.

        A sound part that was there with one cause and then with another has
        as many ends as either, but hardly any that neither explains. A single
        request that was there each time explains the ends under its parts.
        """
        lives = {
            part: {ending.incarnation for ending in endings.values()}
            for part, endings in self._endings.items()
            if len(endings) >= MIN_ENDINGS
        }
        if not lives:
            return set()
        lives.update(requests)
        found, covered = set(), set()
        while tied := self._take_highest(lives, covered, requests):
            found |= tied
            covered.update(*(lives.pop(cause) for cause in tied))
        return found - requests.keys()

    def _take_highest(
        self,
        lives: dict[str, collections.abc.Set[Incarnation]],
        covered: set[Incarnation],
        requests: IncarnationsByDigest,
    ) -> set[str]:
        """Return the causes of the highest rank.

        Those that are explained are dropped from ``lives`` on the way.
        """
        highest, tied = None, set()
        for cause, ended in sorted(
            lives.items(), key=lambda item: len(item[1]), reverse=True
        ):
            if highest is not None and len(ended) < highest[0]:
                break
            ended = ended - covered
            if len(ended) < MIN_ENDINGS:
                del lives[cause]
                continue
            rank = self._rank(cause, ended, cause in requests)
            if highest is None or rank > highest:
                highest, tied = rank, set()
            if rank == highest:
                tied.add(cause)
        return tied

    def _rank(
        self,
        cause: str,
        ended: collections.abc.Set[Incarnation],
        is_request: bool,
    ) -> tuple[int, bool, int]:
        """Return how many ends speak against a cause, and how clearly.

        Of parts that were there equally often, those of requests that only
        waited are not the cause.
        """
        if is_request:
            return len(ended), True, 0
        answering = {
            ending.incarnation
            for ending in self._endings[cause].values()
            if ending.answering
        }
        return len(ended), False, len(ended & answering)

    def _form_groups(self) -> collections.abc.Iterator[PartGroup]:
        by_parts = collections.defaultdict(list)
        seen = {}
        for part in self._suspects:
            seen |= self._endings[part]
        for ending in seen.values():
            by_parts[self._suspects.intersection(ending.parts)].append(ending)
        for parts in by_parts:
            if any(other < parts for other in by_parts):
                continue
            endings = [
                ending
                for others, found in by_parts.items()
                if parts <= others
                for ending in found
            ]
            endings.sort(key=lambda ending: ending.seen)
            yield PartGroup(parts, tuple(endings))
