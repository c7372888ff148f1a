"""Numbers of answers to forwarded requests."""

import secrets

# Tells numbers that are drawn from those that an earlier release counts.
DRAWN_BIT = 1 << 62


def draw_handle() -> int:
    """Return a number that no other run of an entry gives, nor can guess.

    A caller that asks for an answer after the entry has started again must
    not get the answer to another request.

    >>> is_drawn(draw_handle()) and draw_handle() != draw_handle()
    True
    """
    return DRAWN_BIT | secrets.randbits(62)


def is_drawn(handle: int) -> bool:
    """Tell whether an answer may be read over any link to its entry.

    An entry of an earlier release counts its answers anew in each run, and
    knows each by the link of its request.

    :param handle: number of the answer

    >>> is_drawn(1)
    False
    """
    return bool(handle & DRAWN_BIT)
