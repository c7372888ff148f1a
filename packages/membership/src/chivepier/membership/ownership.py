"""Which member owns a shard."""

import collections.abc

from chivepier.messages import Member
from chivepier.types import hash_text


def find_owner(
    pool: str, shard: int, members: collections.abc.Iterable[Member]
) -> Member | None:
    """Choose a shard's owner by rendezvous hashing.

    Every node computes the same owner from the same members, and a change
    of one member moves only the shards of that one.

    >>> find_owner("p", 0, []) is None
    True

    :param pool: the pool's name
    :param shard: number of the shard in its pool
    :param members: the live members of the region
    :returns: the owner; draining members own nothing while others live
    """
    return next(iter(rank_owners(pool, shard, members)), None)


def rank_owners(
    pool: str, shard: int, members: collections.abc.Iterable[Member]
) -> list[Member]:
    """Order the members by their claim on a shard.

    The first is its owner; the next ones stand in, in this order, while an
    entry can't reach those before them.

    :param pool: the pool's name
    :param shard: number of the shard in its pool
    :param members: the live members of the region
    :returns: the members that don't drain, or all if all do
    """
    able = list(members)
    staying = [m for m in able if not m.draining] or able
    key = f"{pool}/{shard}/"
    return sorted(
        staying,
        key=lambda m: (hash_text(key + m.node), m.node),
        reverse=True,
    )


def find_shard(target: str, shards: int) -> int:
    """Place a target in one shard of its pool.

    :param target: the target's identifier
    :param shards: number of shards, at least 1
    :returns: the shard's number
    """
    return hash_text(target) % shards
