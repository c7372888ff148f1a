"""The last attempts to connect to a target."""

import math

import attrs


@attrs.define
class ConnectRecord:
    """Holds when connecting to a target last failed and last succeeded.

    :param failed_at: monotonic time of the last failure, in seconds
    :param reached_at: monotonic time of the last success, in seconds
    :param error: description of the last failure
    """

    failed_at: float = -math.inf
    reached_at: float = -math.inf
    error: str = ""

    @property
    def has_failed(self) -> bool:
        """Whether the last attempt failed."""
        return self.failed_at > self.reached_at
