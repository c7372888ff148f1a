"""Configuration and shutdown state shared by request handling."""

import collections.abc

import attrs

from chivepier.gateway.config import RouteIndex
from chivepier.gateway.serving.doubt import Doubt
from chivepier.types import Signal


@attrs.define
class ServingState:
    """The newest configuration, the number of entries, and shutdown state.

    :param index: the configuration; ``None`` until the first one is received
    :param entries: number of live entries, this one included, which share
        budgets and rates
    :param late_at: monotonic time in seconds from which only requests are
        taken that must end before this process does; ``None`` unless it was
        ordered to stop
    :param ends_at: monotonic time in seconds when this process ends; ``None``
        unless it was ordered to stop
    :param find_doubt: why the configuration may not be the newest; ``None`` if
        it is, so that what it does not contain does not exist
    :param changed: set at each newer configuration
    :param watchers: called with each newer configuration
    """

    index: RouteIndex | None = None
    entries: int = 1
    late_at: float | None = None
    ends_at: float | None = None
    find_doubt: collections.abc.Callable[[], Doubt | None] = lambda: None
    changed: Signal = attrs.field(factory=Signal)
    watchers: list[collections.abc.Callable[[RouteIndex], None]] = attrs.field(
        factory=list
    )

    def adopt(self, index: RouteIndex) -> bool:
        """Replace the configuration if the given one is newer.

        :param index: the indexed configuration
        :returns: whether it was newer
        """
        if self.index is not None and index.version <= self.index.version:
            return False
        self.index = index
        for watcher in self.watchers:
            watcher(index)
        self.changed.set()
        return True
