"""Shares of the callers that entries get by what they can do."""

import collections.abc
import functools
import hashlib
import math
import operator

from chivepier.gateway.messages import EntryBeat

# Weight of the most able entries; the least able ones get 1. More would leave
# so many callers to a few entries that the loss of one cuts more streams than
# the others are spared.
MAX_WEIGHT = 3
# Used share of its processor or memory, in percent, from which an entry gets
# fewer callers: what is left bears a burst.
BUSY_PERCENT = 80
GET_ABILITY = operator.attrgetter(
    "zone",
    "busy_percent",
    "millicores",
    "memory_mb",
    "link_kbps",
    "descriptors",
)


def select_by_weight(
    beats: list[EntryBeat], zone: str, zones: collections.abc.Iterable[str]
) -> list[EntryBeat]:
    """Select the entries that callers of an availability zone may be told.

    Callers pick any address of an answer, so an entry gets fewer callers by
    being named in fewer answers: one of weight 1 to the callers of each third
    zone, and after each of its rotations to those of the next. Its own beat
    counts these, so that all voters agree and other entries stay where they
    are.

    :param beats: the entries that callers may connect to
    :param zone: availability zone of the callers
    :param zones: all known availability zones
    :returns: the same entries if all can do as much, or it is unknown
    """
    weights = compute_weights(beats)
    if min(weights, default=MAX_WEIGHT) == MAX_WEIGHT:
        return beats
    rank = sorted({*zones, zone}).index(zone)
    named = [
        beat
        for beat, weight in zip(beats, weights)
        if (_hash(beat.address) + beat.rotation + rank) % MAX_WEIGHT < weight
    ]
    # the loss of one zone must not leave a caller without an address
    spanned = {beat.zone for beat in named}
    return named + [beat for beat in beats if beat.zone not in spanned]


def compute_weights(beats: list[EntryBeat]) -> list[int]:
    """Return the weight of each entry, from 1 to ``MAX_WEIGHT``.

    An entry is as able as the scarcest of its limits, compared to the largest
    such limit of all; only limits that all entries tell count.

    >>> def make(name, millicores):
    ...     return EntryBeat(
    ...         name, name, "z", True, 1, "", 0, millicores=millicores
    ...     )
    >>> fleet = [make("a", 900), make("b", 600), make("c", 300)]
    >>> compute_weights(fleet)
    [3, 3, 3]

    Each entry is named to the callers of at least one zone.

    >>> import attrs
    >>> fleet = [attrs.evolve(b, zone=z) for b, z in zip(fleet, "xyz")]
    >>> compute_weights(fleet)
    [3, 2, 1]

    :param beats: the last beats of the entries
    """
    return list(_weigh(tuple(map(GET_ABILITY, beats))))


# Callers ask far more often than an ability changes; answers for some sets of
# regions differ.
@functools.lru_cache(maxsize=16)
def _weigh(abilities: tuple[tuple, ...]) -> list[int]:
    shares = _compute_shares([limits for _, _, *limits in abilities])
    weights = [_round(share) for share in shares]
    if len(set(weights)) <= 1:
        return [MAX_WEIGHT] * len(abilities)
    weights = [
        weight - (busy_percent >= BUSY_PERCENT)
        for (_, busy_percent, *_), weight in zip(abilities, weights)
    ]
    # the largest limits of all may belong to different entries
    missing = MAX_WEIGHT - max(weights)
    zones = {zone for zone, *_ in abilities}
    least = math.ceil(MAX_WEIGHT / len(zones))
    return [max(least, weight + missing) for weight in weights]


def _compute_shares(limits: list[list[int]]) -> list[float]:
    """Return each entry's least share of the limits that all have told."""
    told = [values for values in zip(*limits) if min(values) > 0]
    shares = [[value / max(values) for value in values] for values in told]
    return [min(own) for own in zip(*shares)] or [1.0] * len(limits)


def _round(share: float) -> int:
    return max(1, int(MAX_WEIGHT * share + 0.5))


# Sized for the entries of a large fleet.
@functools.lru_cache(maxsize=1 << 12)
def _hash(address: str) -> int:
    digest = hashlib.blake2b(address.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
