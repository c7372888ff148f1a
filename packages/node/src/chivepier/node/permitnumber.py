"""Numbers of permits."""

EPOCH_BITS = 32
RANK_BITS = 28
RANK_MASK = 0xF


def tag_permit(epoch: int, rank: int, count: int) -> int:
    """Build a number that no other owner or deputy gives.

    >>> find_rank(tag_permit(7, 2, 5))
    2

    :param epoch: the membership epoch of the giver
    :param rank: 0 for the owner, 1 and up for its deputies
    :param count: counts the giver's permits
    :returns: the number
    """
    return epoch << EPOCH_BITS | rank << RANK_BITS | count


def find_rank(permit: int) -> int:
    """Return who gave a permit.

    :param permit: its number
    :returns: 0 for the owner, else the deputy's rank
    """
    return permit >> RANK_BITS & RANK_MASK
