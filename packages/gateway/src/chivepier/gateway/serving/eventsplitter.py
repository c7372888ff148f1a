"""Splits a stream of bytes into server-sent events."""

import re

from chivepier.gateway.serving.errors import BrokenAnswerError

# A line ends by CR LF, LF or CR, and an empty line ends an event.
MAX_TERMINATOR_BYTES = 4
EVENT_TERMINATOR = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
# Comments and empty lines up to the last of these that ends an event.
SILENT = re.compile(
    rb"(?:(?::[^\r\n]*+(?:\r\n|\n|\r(?!\n)))*+(?:\r\n|\n|\r(?!\n)))++"
)
# Bytes that may follow an event until the next one has ended; far beyond what
# one event holds.
MAX_EVENT_BYTES = 256 << 10
LINE_ENDS = (b"\r\n", b"\n", b"\r")
# Digits of an event's number: more are no number of an event.
MAX_NUMBER_DIGITS = 40
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


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

    :param resumed: whether the stream follows that of another target; a byte
        order mark may stand at the beginning of the whole stream only
    :ivar events: number of complete events so far
    """

    def __init__(self, resumed: bool = False) -> None:
        self._resumed = resumed
        self._partial = b""
        self._bytes_since_event = 0
        self.events = 0

    def feed(self, data: bytes) -> list[tuple[bytes, int | None]]:
        """Add bytes to the buffer and return the events that are complete.

        :param data: the next bytes of the stream
        :returns: the bytes of each event and its number, ``None`` without one
        :raises BrokenAnswerError: when the bytes go on without events
        """
        self._bytes_since_event += len(data)
        known = len(self._partial)
        searched = max(0, known - MAX_TERMINATOR_BYTES + 1)
        data = self._partial + data
        events, start = [], 0
        while True:
            end = _find_silence_end(data, start) if start >= known else start
            if end > start:
                events.append((data[start:end], None))
                start = end
            found = EVENT_TERMINATOR.search(data, max(start, searched))
            if found is None:
                break
            event, start = data[start : found.end()], found.end()
            if self._resumed and not self.events:
                event = event.removeprefix(BYTE_ORDER_MARK)
            number = parse_event_number(event)
            if number is not None or has_fields(event):
                self.events += 1
                self._bytes_since_event = len(data) - start
            events.append((event, number))
        self._partial = data[start:]
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise BrokenAnswerError("bytes without an event")
        return events

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._partial

    def take_remainder(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest, self._partial = self._partial, b""
        return rest


def _find_silence_end(data: bytes, start: int) -> int:
    """Return where lines end that say nothing, if an event may end there.

    Each is worth nothing to a caller, and as many as there is room for would
    take a process all its time one by one.

    >>> _find_silence_end(b": a\\n\\n\\n: b\\n\\nid: 1\\n", 0)
    11
    >>> _find_silence_end(b"\\nid: 1\\n", 0)
    0
    """
    found = SILENT.match(data, start)
    if found is None or found.group() in LINE_ENDS:
        return start
    return found.end()


def split_lines(data: bytes) -> list[bytes]:
    """Return the lines of an event with their ends."""
    return data.removeprefix(BYTE_ORDER_MARK).splitlines(keepends=True)


def has_fields(data: bytes) -> bool:
    """Tell whether bytes hold more than empty lines and comments.

    >>> has_fields(b": note\\n\\n"), has_fields(b": note\\nid: 1\\n\\n")
    (False, True)
    """
    return any(
        line.strip() and not line.startswith(b":")
        for line in split_lines(data)
    )


def is_unfinished(remainder: bytes) -> bool:
    """Tell whether a stream that ends with these bytes ends inside an event.

    >>> is_unfinished(b"id: 2\\ndata: b\\n"), is_unfinished(b": end\\n")
    (True, False)

    :param remainder: the bytes after the last complete event
    """
    ends_line = not remainder or remainder.endswith((b"\n", b"\r"))
    return not ends_line or has_fields(remainder)


def parse_number(text: bytes) -> int | None:
    """Parse the id of an event, ``None`` if it is no number.

    >>> parse_number(b"0"), parse_number(b""), parse_number(b"-1")
    (0, None, None)
    """
    known = text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if known else None


def parse_event_number(event: bytes) -> int | None:
    """Parse the number in the ``id`` field of an event.

    :param event: the bytes of the event
    :returns: the number; ``None`` if the field is missing or no number
    """
    for line in split_lines(event):
        if line.startswith(b"id:"):
            return parse_number(line[3:].strip())
    return None


def is_known_event(number: int | None, last: int | None) -> bool:
    """Tell whether a caller has an event.

    A series may begin with 0: a caller without an event has not that one.

    >>> is_known_event(0, None), is_known_event(0, 0)
    (False, True)

    :param number: number of the event; ``None`` if it has none
    :param last: number of the last event that the caller has; ``None`` before
        the first
    """
    return number is not None and last is not None and number <= last


def parse_part_number(remainder: bytes) -> int | None:
    """Parse the number of an event that broke off, by its whole lines.

    >>> parse_part_number(b"id: 2\\nda"), parse_part_number(b"id: 2")
    (2, None)

    :param remainder: the bytes after the last complete event
    """
    end = max(remainder.rfind(b"\n"), remainder.rfind(b"\r")) + 1
    return parse_event_number(remainder[:end])


def has_new_part(remainder: bytes, last: int | None) -> bool:
    """Tell whether bytes hold a part of an event that the caller lacks.

    The next target may repeat an event; only a whole line tells its number.

    >>> has_new_part(b"id: 2\\nda", 2), has_new_part(b"id: 2", 2)
    (False, True)

    :param remainder: the bytes after the last complete event
    :param last: number of the last event that the caller has; ``None`` before
        the first
    """
    number = parse_part_number(remainder)
    return is_unfinished(remainder) and not is_known_event(number, last)
