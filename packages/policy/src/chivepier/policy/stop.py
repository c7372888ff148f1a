"""The decision to end a stream early."""

import attrs


@attrs.frozen
class Stop:
    """The stream under the permit ends, to keep its target from overflow."""

    permit: int
    retry_after: float
