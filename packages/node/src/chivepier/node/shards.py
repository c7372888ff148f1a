"""Which shards of a pool a request asks."""

from chivepier.types import hash_text

TRIES = 2


def choose_shards(count: int, key: str) -> tuple[int, ...]:
    """Choose the shards to ask, in order.

    The same key comes to the same shard, where a prompt's prefix is cached;
    the second one is for a shard that has no target or no room.

    >>> choose_shards(1, "a"), len(choose_shards(8, "a"))
    ((0,), 2)

    :param count: shards of the pool
    :param key: a team's prefix, or anything that spreads
    :returns: different shards, at most :data:`TRIES`
    """
    if count <= 1:
        return (0,)
    first = hash_text(key) % count
    step = 1 + hash_text(f"{key}/second") % (count - 1)
    return first, (first + step) % count
