"""Traffic counters of the peer links of one process."""

import attrs


@attrs.define
class Traffic:
    """Counts frames and payload bytes since the process started.

    ``dropped_parts`` counts one-way messages that expired before they were
    sent.
    """

    sent_frames: int = 0
    sent_bytes: int = 0
    received_frames: int = 0
    received_bytes: int = 0
    dropped_parts: int = 0

    def count_sent(self, size: int) -> None:
        """Count a sent frame.

        :param size: size of its payload in bytes
        """
        self.sent_frames += 1
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Count a received frame.

        :param size: size of its payload in bytes
        """
        self.received_frames += 1
        self.received_bytes += size
