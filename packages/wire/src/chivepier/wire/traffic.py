"""What crosses the peer links of one process."""

import attrs


@attrs.define
class Traffic:
    """Frames and payload bytes since the start, for metrics and budgets.

    ``dropped_parts`` counts one-way messages that had waited for too long.
    """

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0
    dropped_parts: int = 0

    def count_sent(self, size: int) -> None:
        """Count a frame that was sent.

        :param size: its payload in bytes
        """
        self.sent_frames += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a frame that came.

        :param size: its payload in bytes
        """
        self.received_frames += 1
        self.received_bytes += size
