"""Whole events out of a stream of bytes."""

import attrs

from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

END = b"\n\n"
MARK = b"\n\nid: "
DONE = b"data: [DONE]"
MAX_EVENT = 1 << 20


@attrs.define
class SseBuffer:
    """Checks and re-labels a generation's events, many at a time.

    ``following`` is the index expected next.  Whole events are handled as
    one piece of bytes: each is touched once, by the interpreter's own
    search and replace, since a node relays tens of thousands a second.
    """

    label: bytes
    generation: bytes
    following: int = 0
    finished: bool = False
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the engine.

        :param data: as they came, events may be cut anywhere
        :returns: whole events for the caller, with handles as ids
        :raises RequestError: ``generation_lost`` where an event belongs to
            another generation, or one is missing
        """
        data = self._rest + data
        cut = data.rfind(END)
        if cut < 0:
            if len(data) > MAX_EVENT:
                raise _lost("an event is too long")
            self._rest = data
            return b""
        whole = data[: cut + len(END)]
        self._rest = data[cut + len(END) :]
        return self._check(whole)

    def _check(self, whole: bytes) -> bytes:
        events = whole.count(END)
        done = whole.endswith(DONE + END)
        tokens = events - done
        marked = END + whole
        first = self.following
        last = first + tokens - 1
        if tokens and not self._in_order(marked, first, last):
            kept = self._skip_repeats(whole)
            if kept == whole:
                raise _lost("events came out of order")
            return self._check(kept) if kept else b""
        if whole.count(b'"id":"' + self.generation + b'"') != tokens:
            raise _lost("an event of another generation came")
        self.following += tokens
        self.finished = done
        return marked.replace(MARK, MARK + self.label)[len(END) :]

    def _in_order(self, marked: bytes, first: int, last: int) -> bool:
        return _index_at(marked, marked.find(MARK)) == first and (
            _index_at(marked, marked.rfind(MARK)) == last
        )

    def _skip_repeats(self, whole: bytes) -> bytes:
        """Drop events that were delivered before; a resume may repeat."""
        kept = []
        for event in whole.split(END)[:-1]:
            index = _index_at(END + event, 0)
            if index is not None and index < self.following:
                continue
            if index is not None and index > self.following + len(kept):
                raise _lost(f"event {self.following + len(kept)} is missing")
            kept.append(event)
        return b"".join(event + END for event in kept)


def _index_at(marked: bytes, at: int) -> int | None:
    if at < 0 or not marked.startswith(MARK, at):
        return None
    start = at + len(MARK)
    end = marked.find(b"\n", start)
    return int(marked[start:end])


def _lost(message: str) -> RequestError:
    return RequestError.of(ErrorKind.GENERATION_LOST, message, Ran.YES)
