"""Cutting a stream of bytes into whole events."""

# Two line ends in a row end an event; targets may use either form.
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Holds back what is no whole event yet.

    A target may stop in the middle of an event. What was passed on of it
    could not be taken back when the stream goes on elsewhere, and would
    reach the caller as a torn event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [(b'id: 1\\ndata: a\\n\\n', 1)]
    >>> splitter.feed(b"ta: b\\n\\n")
    [(b'id: 2\\ndata: b\\n\\n', 2)]
    """

    def __init__(self) -> None:
        self._partial = b""

    def feed(self, data: bytes) -> list[tuple[bytes, int | None]]:
        """Take bytes and return the events that they complete.

        :param data: the next bytes of the stream
        :returns: each event's bytes, and its number where it has one
        """
        data = self._partial + data
        events = []
        while (end := _find_end(data)) > 0:
            event, data = data[:end], data[end:]
            events.append((event, parse_event_number(event)))
        self._partial = data
        return events

    def take_remainder(self) -> bytes:
        """Return what no event's end followed."""
        rest, self._partial = self._partial, b""
        return rest


def _find_end(data: bytes) -> int:
    ends = [
        data.find(mark) + len(mark)
        for mark in EVENT_TERMINATORS
        if mark in data
    ]
    return min(ends, default=0)


def parse_event_number(event: bytes) -> int | None:
    """Read an event's number.

    :param event: its bytes
    :returns: the number, ``None`` when it has none
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
