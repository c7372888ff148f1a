"""What a caller got of one stream, over all its attempts."""

import attrs

EVENT_END = b"\n\n"


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
    """

    first_number: int = 1
    first_attempt: str = ""
    numbers: list[int] = attrs.field(factory=list)
    versions: set[str] = attrs.field(factory=set)
    whole: bool = False
    has_end: bool = False
    taken_up: bool = False
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
        """Whether each event came once, in order."""
        return are_in_order(self.numbers, self.first_number)

    def begin_attempt(self, attempt: str) -> None:
        """Begin another attempt; a part of an event is dropped."""
        self._attempt, self._rest = attempt, b""

    def feed(self, data: bytes) -> None:
        """Add bytes of an answer."""
        *events, self._rest = (self._rest + data).split(EVENT_END)
        for event in events:
            self._take(event.decode())

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
