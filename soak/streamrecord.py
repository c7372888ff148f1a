"""What a caller got of one stream, over all its attempts."""

import re

import attrs

from soak.events import EVENT_END
from soak.events import is_begun_event

NUMBER = re.compile(rb"id: (\d+)\n")


@attrs.define
class StreamRecord:
    """Collects the events of a stream as a caller keeps them.

    A caller keeps whole events only, and goes on after the last one.

    :param first_number: number of the first event of a series
    :ivar first_attempt: id of the attempt that brought the first event
    :ivar numbers: numbers of the events, in the order in which they came
    :ivar versions: software versions of the targets that wrote them
    :ivar whole: whether an attempt ended as a whole stream
    :ivar has_end: whether its last event is there
    :ivar taken_up: whether an entry answered an attempt to go on with it
    :ivar attempts: ids of all attempts
    :ivar foreign: bytes that are no part of its series
    """

    first_number: int = 1
    first_attempt: str = ""
    numbers: list[int] = attrs.field(factory=list)
    versions: set[str] = attrs.field(factory=set)
    whole: bool = False
    has_end: bool = False
    taken_up: bool = False
    attempts: list[str] = attrs.field(factory=list)
    foreign: list[bytes] = attrs.field(factory=list)
    _attempt: str = ""
    _rest: bytes = b""

    @property
    def last_event(self) -> int | None:
        """Number of the last event; ``None`` before the first."""
        return self.numbers[-1] if self.numbers else None

    @property
    def received(self) -> int:
        """Number of events that have come."""
        return len(self.numbers)

    @property
    def in_order(self) -> bool:
        """Whether each event came once, in order, and nothing else."""
        return not self.foreign and are_in_order(
            self.numbers, self.first_number
        )

    def begin_attempt(self, attempt: str) -> None:
        """Begin another attempt; a part of an event is dropped."""
        self._attempt, self._rest = attempt, b""
        self.attempts.append(attempt)

    def feed(self, data: bytes) -> None:
        """Add bytes of an answer."""
        *events, self._rest = (self._rest + data).split(EVENT_END)
        for event in events:
            found = NUMBER.match(event)
            number = self._next_number if found is None else int(found[1])
            if self._is_foreign(event + EVENT_END, number):
                self.foreign.append(event)
            else:
                self._take(event.decode())
        if self._is_foreign(self._rest, self._next_number):
            self.foreign.append(self._rest)

    @property
    def _next_number(self) -> int:
        last = self.last_event
        return self.first_number if last is None else last + 1

    def _is_foreign(self, part: bytes, number: int) -> bool:
        """Tell whether an event, or its beginning, is of no target."""
        place = number - self.first_number + 1
        return not is_begun_event(part, place, number)

    def _take(self, event: str) -> None:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        if not self.numbers:
            self.first_attempt = self._attempt
        self.numbers.append(int(fields["id"]))
        self.versions.add(fields[""])
        self.has_end = fields["data"] == "end"

    def end(self) -> None:
        """End the stream, as its framing tells."""
        self.whole = True


def are_in_order(numbers: list[int], first: int) -> bool:
    """Tell whether events are the first ones of a series, each once.

    >>> are_in_order([0, 1], 0), are_in_order([1], 0), are_in_order([], 0)
    (True, False, True)

    :param numbers: numbers of the events, in the order in which they came
    :param first: number of the first event of the series
    """
    return numbers == list(range(first, first + len(numbers)))
