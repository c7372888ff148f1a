"""What the callers of a press do."""

import attrs

from soak.process import Process


@attrs.frozen
class Habits:
    """What callers do.

    :param entry: entry that all of them ask; any if it is ``None``
    :param repeats_at_once: whether they come back at once after a refusal
    :param give_up_share: share of the requests that they give up early
    """

    entry: Process | None = None
    repeats_at_once: bool = False
    give_up_share: float = 0.0
