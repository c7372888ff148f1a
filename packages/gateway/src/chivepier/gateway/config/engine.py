"""Capabilities of model-serving targets."""

import attrs


@attrs.frozen(kw_only=True)
class Engine:
    """Capacity and features of the targets of a service for generations.

    :param slots: maximum number of concurrent requests on one target
    :param memory_tokens: number of tokens that fit into one target's memory
    :param event_tokens: number of tokens in one event of a stream
    :param moves: whether the memory of a running generation can be moved
    :param reserve_seconds: seconds for which capacity can be reserved before
        a request is sent; 0 if targets support no reservations
    :param token_seconds: seconds to copy the memory of one token to another
        target in the same availability zone
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    moves: bool = False
    reserve_seconds: float = 0.0
    token_seconds: float = 0.0
