"""Whole events out of a stream of bytes."""

import json

import attrs

from chivepier.node.linklosterror import LinkLostError
from chivepier.node.lossreason import LossReason

END = b"\n\n"
ID = b"id: "
COMMENT = b":"
DONE = b"data: [DONE]"
DATA = b"data"
# Fields beside the id; the empty one is that of a comment.
FIELDS = (b"data", b"event", b"retry", b"")
MAX_EVENT = 1 << 20
MAX_INDEX_DIGITS = 9


@attrs.define
class SseBuffer:
    """Checks and re-labels a generation's events, one by one.

    ``following`` is the index expected next.  An event whose index or whose
    generation differs is never passed on: without the check of each one, an
    engine or a proxy that crosses two answers in the middle of a buffer
    would put another team's text into this caller's stream.  The check is a
    comparison of bytes; an event is parsed only where that fails.

    What follows a cut event in the same bytes, an error's text or head, would
    be passed on as its end: an event has to look whole as well, or to be so.
    """

    label: bytes
    generation: bytes
    following: int = 0
    finished: bool = False
    _rest: bytes = b""
    _marks: tuple[bytes, bytes] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        name = b'"' + self.generation + b'"'
        self._marks = (b'"id":' + name, b'"id": ' + name)

    def restart(self) -> None:
        """Forget a cut event; the next reader sends it whole."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the engine.

        :param data: as they came, events may be cut anywhere
        :returns: whole events for the caller, with handles as ids
        :raises LinkLostError: where an event belongs to another generation,
            one is missing, or it isn't one; nothing after it is passed on
        """
        if self._rest:
            data = self._rest + data
        *events, self._rest = data.split(END)
        if len(self._rest) > MAX_EVENT:
            text = "an event is too long"
            raise LinkLostError(LossReason.MALFORMED, text)
        passed = []
        following = self.following
        for event in events:
            if event.startswith(ID + b"%d\n" % following):
                if self._marks[0] not in event or not _looks_whole(event):
                    self._check_event(event)
                following += 1
                passed.append(ID + self.label + event[len(ID) :] + END)
            elif event == DONE:
                self.finished = True
                passed.append(DONE + END)
                break
            else:
                _skip(event, following)
        # only now: what was checked before a bad event isn't delivered, so
        # the next reader has to send it again
        self.following = following
        return b"".join(passed)

    def _check_event(self, event: bytes) -> None:
        # the engine may write its JSON with spaces or escapes
        try:
            found = json.loads(_read_data(event))
        except (ValueError, RecursionError):
            text = "an event is not JSON"
            raise LinkLostError(LossReason.MALFORMED, text) from None
        name = found.get("id") if isinstance(found, dict) else None
        if name != self.generation.decode():
            text = "an event of another generation came"
            raise LinkLostError(LossReason.CROSSED, text)


def _looks_whole(event: bytes) -> bool:
    """Tell whether the data is one line, and may be a whole JSON object.

    >>> _looks_whole(b'id: 0\\ndata: {"a":[{"b":1}]}')
    True
    >>> _looks_whole(b'id: 0\\ndata: {"a":[{"b"{"error":1}')
    False
    """
    return (
        event.endswith(b"}")
        and event.count(b"\n") == 1
        and event.count(b"{") == event.count(b"}")
        and not event.count(b'"') & 1
    )


def _read_data(event: bytes) -> bytes:
    """Return the data of an event.

    :raises LinkLostError: if one of its lines is that of no event
    """
    data = []
    for line in event.split(b"\n")[1:]:
        name, _, value = line.partition(b":")
        if name not in FIELDS:
            text = "a line of an event is no field"
            raise LinkLostError(LossReason.MALFORMED, text)
        if name == DATA:
            data.append(value)
    return b"\n".join(data)


def _skip(event: bytes, following: int) -> None:
    """Drop a repeat or a comment; anything else ends the reader."""
    if event.startswith(COMMENT):
        return
    index = _read_index(event)
    if index is None:
        text = "an event has no index"
        raise LinkLostError(LossReason.MALFORMED, text)
    if index > following:
        text = f"event {following} is missing"
        raise LinkLostError(LossReason.GAP, text)


def _read_index(event: bytes) -> int | None:
    first = event.partition(b"\n")[0]
    digits = first.removeprefix(ID)
    if digits is first or not digits.isdigit():
        return None
    return int(digits) if len(digits) <= MAX_INDEX_DIGITS else None
