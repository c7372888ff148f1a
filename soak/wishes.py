"""What a target asked of each entry in its answers, and whether it got it."""

import collections.abc
import time

import attrs

# Seconds after an answer in which what was under way may still arrive.
UNDER_WAY_SECONDS = 0.5

Excuses = collections.abc.Callable[[str, float], bool]


def excuse_nobody(entry: str, since: float) -> bool:
    """Excuse no entry: none of them is harmed."""
    return False


def name_sender(entry: str) -> dict[str, str]:
    """Return the headers by which targets know whom a request comes from.

    :param entry: that it is sent to now
    """
    return {"X-Entry": entry, "X-Sent": str(time.monotonic())}


@attrs.define
class Wishes:
    """Checks what entries send a target that asked them for something.

    :param full: whether it turns away what it gets
    :param rest: seconds that it asks for beside a refusal
    :param leaves: whether it says in all its answers that it leaves
    :param excuses: tells whether an entry was harmed since a moment
    """

    full: bool = False
    rest: float | None = None
    leaves: bool = False
    excuses: Excuses = excuse_nobody
    ignored: list[str] = attrs.field(factory=list)
    refusals: int = 0
    _rests: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    _told: dict[str, float] = attrs.field(factory=dict)

    def note_arrival(self, entry: str, sent: float, now: float) -> None:
        """Check a request that arrives.

        :param entry: that it comes from
        :param sent: when its caller sent it, in monotonic seconds
        :param now: monotonic seconds
        """
        for since, until in self._rests.get(entry, ()):
            late = since + UNDER_WAY_SECONDS <= now < until
            if late and not self.excuses(entry, since):
                text = f"{entry} sent {now - since:.2f} s after it was asked"
                self.ignored.append(f"{text} to wait {until - since:.2f} s")
        told = self._told.get(entry)
        if told is not None and sent > told + UNDER_WAY_SECONDS:
            if not self.excuses(entry, told):
                text = f"{entry} sent what came {sent - told:.2f} s after"
                self.ignored.append(f"{text} the target said that it leaves")

    def note_answer(self, entry: str, refused: bool, now: float) -> None:
        """Note what an answer asks of the entry that gets it."""
        if refused:
            self.refusals += 1
        if refused and self.rest is not None:
            kept = [r for r in self._rests.get(entry, ()) if r[1] > now]
            self._rests[entry] = [*kept, (now, now + self.rest)]
        if self.leaves:
            self._told.setdefault(entry, now)

    def make_headers(self, refused: bool) -> dict[str, str]:
        """Return what its answers say."""
        headers = {}
        if refused and self.rest is not None:
            headers["Retry-After"] = f"{self.rest:g}"
        if self.leaves:
            headers["Server-Leaving"] = "1"
        return headers

    def begin_anew(self) -> None:
        """Start again: the next life has asked nobody for anything."""
        self.full, self.rest, self.leaves = False, None, False
        self._rests.clear()
        self._told.clear()
