"""What serving knows of the configuration and of its peers."""

import attrs

from chivepier.gateway.config import RouteIndex
from chivepier.types import Signal


@attrs.define
class ServingState:
    """The newest configuration, and how many entries share budgets.

    :param index: ``None`` until the first configuration is known
    :param entries: entries that are alive, this one included
    :param stopping: whether new requests are turned away
    :param ends_at: when this process ends, in monotonic seconds; ``None``
        until it is told to
    :param changed: set at each newer configuration
    """

    index: RouteIndex | None = None
    entries: int = 1
    stopping: bool = False
    ends_at: float | None = None
    changed: Signal = attrs.field(factory=Signal)

    def adopt(self, index: RouteIndex) -> bool:
        """Take a configuration that is newer than the one held.

        :param index: the arranged configuration
        :returns: whether it was newer
        """
        if self.index is not None and index.version <= self.index.version:
            return False
        self.index = index
        self.changed.set()
        return True
