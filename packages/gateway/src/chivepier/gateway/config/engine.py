"""What a model-serving target can do."""

import attrs


@attrs.frozen(kw_only=True)
class Engine:
    """Limits of the targets of one service that run generations.

    :param slots: requests that one target runs at once
    :param memory_tokens: tokens that one target's memory holds
    :param event_tokens: tokens in one event of a stream
    :param moves: whether a live generation's memory can be moved
    :param reserve_seconds: how long room can be reserved before a request is
        sent, in seconds; 0 where it can't
    :param token_seconds: to copy the memory of one token to another target
        of the same availability zone, in seconds
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    moves: bool = False
    reserve_seconds: float = 0.0
    token_seconds: float = 0.0
