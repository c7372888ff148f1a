"""Tells which parts of bodies belong to the series of a stream."""

import re

from chivepier.gateway.serving.eventsplitter import has_fields
from chivepier.gateway.serving.eventsplitter import is_known_event
from chivepier.gateway.serving.eventsplitter import split_lines
from chivepier.gateway.serving.piece import Piece
from chivepier.gateway.serving.serieskind import SeriesKind

EVENT_FIELDS = (b"data", b"event", b"id", b"retry")
# A target may name what changes at an event in a first line of its own.
LEADING_FIELD = re.compile(rb"[a-z0-9-]+:")
# Also where the line stands that an event broke off on.
STATUS_LINE = re.compile(rb"HTTP/[0-9][0-9.]* [0-9]{3}\b")
# Comments, and the time after which readers come back: no event in itself.
SILENT_LINES = re.compile(
    rb"(?:(?::[^\r\n]*+|retry: ?[0-9]*+)?+(?:\r\n|\n|\r))++"
)
# Most events: known without a look at each line.
USUAL_EVENT = re.compile(rb"id: ?[0-9]++\n(?:data:[^\r\n]*+\n)++\n")


class EventSeries:
    """Judges what targets send of one stream, part by part.

    A target that fails, or what stands before it, may write an error's head or
    text into a body, also into that of its own stream. Its caller would find
    it among the events, or take the stream for whole.

    >>> series = EventSeries(numbered=False, begun=False)
    >>> series.judge(b"id: 1\\ndata: a\\n\\n", 1, None)
    <Piece.NEXT: 'next'>
    >>> series.judge(b"HTTP/1.1 500 Oops\\r\\n\\r\\n", None, 1)
    <Piece.TEXT: 'text'>
    >>> series.judge(b"event: error\\ndata: b\\n\\n", None, 1)
    <Piece.UNNUMBERED: 'unnumbered'>

    :param numbered: whether its caller names the number of an event that it
        has of an earlier attempt
    :param begun: whether its caller has any event of an earlier attempt
    """

    def __init__(self, numbered: bool, begun: bool):
        self._kind = SeriesKind.NUMBERED if numbered else SeriesKind.UNKNOWN
        self._may_be_other = not begun
        self._last_in_body: int | None = None

    @property
    def may_go_on(self) -> bool:
        """Whether another target can tell what its caller lacks."""
        return self._kind in (SeriesKind.UNKNOWN, SeriesKind.NUMBERED)

    def note_declared(self) -> None:
        """Record that the first body is declared to be a series of events."""
        self._may_be_other = False

    def note_part(self, number: int | None) -> None:
        """Record the event that the end of a body cut.

        :param number: its number; ``None`` without one
        """
        if number is not None and self._kind is SeriesKind.UNKNOWN:
            self._kind = SeriesKind.NUMBERED

    def begin_body(self) -> None:
        """Judge the body of another target from now on."""
        self._may_be_other = False
        self._last_in_body = None

    def judge(
        self, part: bytes, number: int | None, last: int | None
    ) -> Piece:
        """Tell what a part of the current body is, in the order of parts.

        :param part: an event, or what is left at the end of the body
        :param number: its number; ``None`` without one
        :param last: number of the last event that the caller has; ``None``
            before the first
        """
        if self._kind is SeriesKind.OTHER:
            return Piece.NEXT
        if number is None or not USUAL_EVENT.fullmatch(part):
            if is_silent(part):
                return Piece.SILENT
            if not is_event(part):
                return self._judge_text(part)
        if number is None:
            if self._kind is SeriesKind.NUMBERED:
                return Piece.UNNUMBERED
            self._kind = SeriesKind.UNNUMBERED
            return Piece.NEXT
        if is_known_event(number, self._last_in_body):
            return Piece.BACKWARDS
        self._kind = SeriesKind.NUMBERED
        self._last_in_body = number
        return Piece.KNOWN if is_known_event(number, last) else Piece.NEXT

    def _judge_text(self, part: bytes) -> Piece:
        is_begin = self._may_be_other and self._kind is SeriesKind.UNKNOWN
        if not is_begin or STATUS_LINE.search(part) or has_field(part):
            return Piece.TEXT
        self._kind = SeriesKind.OTHER
        return Piece.NEXT


def is_silent(part: bytes) -> bool:
    """Tell whether a part dispatches no event and says nothing of one.

    >>> is_silent(b": note\\n\\n"), is_silent(b"retry: 100\\n\\n")
    (True, True)
    >>> is_silent(b"data\\n\\n")
    False

    :param part: bytes up to the end of an event, or of the body
    """
    return not has_fields(part) or bool(SILENT_LINES.fullmatch(part))


def is_event(part: bytes) -> bool:
    """Tell whether all lines are those of an event.

    >>> is_event(b"version: 3\\nid: 1\\ndata: a\\n\\n")
    True
    >>> is_event(b"id: 1\\ndata: a\\nversion: 3\\n\\n"), is_event(b"oops\\n")
    (False, False)

    :param part: bytes with at least one line that is no comment
    """
    lines = list_lines(part)
    if len(lines) > 1 and LEADING_FIELD.match(lines[0]):
        del lines[0]
    return all(map(is_field, lines))


def has_field(part: bytes) -> bool:
    """Tell whether any line is one of an event.

    :param part: bytes that are no event
    """
    return any(map(is_field, list_lines(part)))


def is_field(line: bytes) -> bool:
    """Tell whether a line is one of an event.

    :param line: a line, with or without its end
    """
    return line.strip(b"\r\n").partition(b":")[0] in EVENT_FIELDS


def begins_event(part: bytes) -> bool:
    """Tell whether a part begins as an event, whatever it goes on with.

    >>> begins_event(b"id: 3\\ndata: tHTTP/1.1 500 Oops\\r\\n\\r\\n")
    True
    >>> begins_event(b"daHTTP/1.1 500 Oops\\r\\n\\r\\n")
    True
    >>> begins_event(b"HTTP/1.1 500 Oops\\r\\n\\r\\n"), begins_event(b"oops")
    (False, False)

    :param part: bytes that are no event
    """
    lines = list_lines(part)
    if not lines:
        return False
    if is_field(lines[0]):
        return True
    head = STATUS_LINE.search(lines[0])
    return head is not None and head.start() > 0


def drop_begun_name(rest: bytes) -> bytes:
    """Leave out a field's name that the end of a body cuts.

    >>> drop_begun_name(b"id: 2\\nda"), drop_begun_name(b"id: 2\\noops")
    (b'id: 2\\n', b'id: 2\\noops')

    :param rest: what is left at the end of a body
    """
    last = split_lines(rest)[-1:]
    if last and any(field.startswith(last[0]) for field in EVENT_FIELDS):
        return rest.removesuffix(last[0])
    return rest


def list_lines(part: bytes) -> list[bytes]:
    """Return the lines that are neither empty nor comments.

    :param part: bytes up to the end of an event, or of the body
    """
    return [
        line
        for line in split_lines(part)
        if line.strip() and not line.startswith(b":")
    ]
