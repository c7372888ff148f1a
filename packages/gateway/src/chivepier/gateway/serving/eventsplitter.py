"""Splits a stream of bytes into server-sent events."""

# An empty line ends an event; targets may use either line ending.
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


class EventSplitter:
    """Buffers bytes until they form a complete event.

    A target may fail in the middle of an event. If a part of it had been
    passed on, a stream that is resumed elsewhere would contain a corrupt
    event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [(b'id: 1\\ndata: a\\n\\n', 1)]
    >>> splitter.feed(b"ta: b\\n\\n")
    [(b'id: 2\\ndata: b\\n\\n', 2)]

    :ivar events: number of complete events so far
    """

    def __init__(self) -> None:
        self._partial = b""
        self.events = 0

    def feed(self, data: bytes) -> list[tuple[bytes, int | None]]:
        """Add bytes to the buffer and return the events that are complete.

        :param data: the next bytes of the stream
        :returns: the bytes of each event and its number, ``None`` without one
        """
        data = self._partial + data
        events = []
        while (end := _find_end(data)) > 0:
            event, data = data[:end], data[end:]
            events.append((event, parse_event_number(event)))
        self._partial = data
        self.events += len(events)
        return events

    def take_remainder(self) -> bytes:
        """Return and clear the bytes of the last, unterminated event."""
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
    """Parse the number in the ``id`` field of an event.

    :param event: the bytes of the event
    :returns: the number; ``None`` if the field is missing or no number
    """
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
