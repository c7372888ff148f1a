"""Result of a copy of the KV cache of a generation."""

import attrs

from chivepier.gateway.serving.moveoutcome import MoveOutcome


@attrs.frozen
class MoveResult:
    """The outcome of a copy, and the handle of the copied KV cache.

    :param outcome: whether the copy is complete
    :param handle: identifies the copy; after ``NO_ROOM`` for a stopped run,
        the KV cache that the source still holds; otherwise empty
    """

    outcome: MoveOutcome
    handle: str = ""
