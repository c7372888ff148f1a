"""What a target is contacted for."""

import enum


class CallPurpose(enum.Enum):
    """What may be sent to a target depends on it.

    ``START`` is new work: a request, or a reservation for one. ``GO_ON`` is a
    generation that goes on from its memory there, and would be lost else.
    ``ORDER`` concerns what is there already: a move, or a copy to be freed.
    """

    START = "start"
    RESUME = "go_on"
    CONTROL = "order"
