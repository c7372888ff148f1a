"""Lengths learned by team, template and class."""

import collections

import numpy

from chivepier.policy.ask import Ask
from chivepier.policy.buckets import BUCKETS
from chivepier.policy.buckets import find_bucket
from chivepier.policy.learnedprofile import LearnedProfile
from chivepier.policy.lengthcell import LengthCell
from chivepier.policy.lengthprofile import LengthProfile
from chivepier.policy.lengths import Lengths

MAX_CELLS = 2048
MAX_PROFILES = 256
FEW_CHANGES = 16
REFRESH_CHANGES = 200
PRIOR_HAZARD = 0.12
TEMPLATE_PRIOR = 4.0
TEAM_PRIOR = 12.0


class LengthEstimator(Lengths):
    """Hazards of team, template and class, leaning on wider cells.

    A team without history has the distribution of its template and class;
    a template without history one that is even in the logarithm.  Cells not
    used for longest are forgotten, so that memory stays bounded however
    many teams come by.
    """

    def __init__(self, max_cells: int = MAX_CELLS):
        self._max_cells = max_cells
        self._cells: collections.OrderedDict[tuple, LengthCell]
        self._cells = collections.OrderedDict()
        self._profiles: collections.OrderedDict[tuple, tuple]
        self._profiles = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._cells)

    def profile(self, ask: Ask) -> LengthProfile:
        """Return the estimate for a request, at most slightly stale.

        Of a team that was hardly seen its template's is taken: making one
        costs more than all else that is done for a request.
        """
        key = _team_key(ask)
        cell = self._cell(key)
        if cell.changes < FEW_CHANGES:
            key = _template_key(ask)
            cell = self._cell(key)
        key = *key, find_bucket(ask.max_tokens)
        known = self._profiles.get(key)
        if known is not None and not _is_stale(known[0], cell):
            return known[1]
        profile = LearnedProfile(self._hazards(ask), ask.max_tokens)
        self._profiles[key] = cell.changes, profile
        self._profiles.move_to_end(key)
        if len(self._profiles) > MAX_PROFILES:
            self._profiles.popitem(last=False)
        return profile

    def advance(self, ask: Ask, before: int, after: int) -> None:
        """Count the buckets that a request has left behind."""
        first, last = find_bucket(before), find_bucket(after)
        if first < last:
            self._cell(_team_key(ask)).advance(first, last)
            self._cell(_template_key(ask)).advance(first, last)

    def finish(self, ask: Ask, tokens: int) -> None:
        """Count an end."""
        self._cell(_team_key(ask)).finish(tokens)
        self._cell(_template_key(ask)).finish(tokens)

    def _cell(self, key: tuple) -> LengthCell:
        cell = self._cells.get(key)
        if cell is None:
            cell = self._cells[key] = LengthCell()
            if len(self._cells) > self._max_cells:
                self._cells.popitem(last=False)
        else:
            self._cells.move_to_end(key)
        return cell

    def _hazards(self, ask: Ask) -> numpy.ndarray:
        hazards = numpy.full(BUCKETS, PRIOR_HAZARD)
        hazards = _lean(
            self._cell(_template_key(ask)), hazards, TEMPLATE_PRIOR
        )
        return _lean(self._cell(_team_key(ask)), hazards, TEAM_PRIOR)


def _lean(cell: LengthCell, prior: numpy.ndarray, strength: float):
    scale = strength * cell.weight
    ended = numpy.frombuffer(cell.ended)
    entered = numpy.frombuffer(cell.entered)
    return (ended + scale * prior) / (entered + scale)


def _is_stale(changes: int, cell: LengthCell) -> bool:
    seen = cell.changes - changes
    return seen > REFRESH_CHANGES or seen * 4 > cell.changes


def _team_key(ask: Ask) -> tuple:
    return ask.team, ask.template, ask.urgency


def _template_key(ask: Ask) -> tuple:
    return ask.template, ask.urgency
