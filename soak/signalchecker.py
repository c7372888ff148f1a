"""What a target asked of each entry in its answers, and whether it got it."""

import collections.abc
import time

import attrs

# Seconds after an answer in which what was under way may still arrive.
IN_FLIGHT_SECONDS = 0.5

IsExcused = collections.abc.Callable[[str, float], bool]


def excuse_none(entry: str, since: float) -> bool:
    """Excuse no entry: none of them is harmed."""
    return False


def make_sender_headers(entry: str) -> dict[str, str]:
    """Return the headers by which targets know whom a request comes from.

    :param entry: that it is sent to now
    """
    return {"X-Entry": entry, "X-Sent": str(time.monotonic())}


@attrs.define
class SignalChecker:
    """Checks what entries send a target that asked them for something.

    :param full: whether it turns away what it gets
    :param rest: seconds that it asks for beside a refusal
    :param leaves: whether it says in all its answers that it leaves
    :param excuses: tells whether an entry was harmed since a moment
    """

    overloaded: bool = False
    rest: float | None = None
    is_leaving: bool = False
    is_excused: IsExcused = excuse_none
    violations: list[str] = attrs.field(factory=list)
    refusals: int = 0
    _backoffs: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    _leaving_since: dict[str, float] = attrs.field(factory=dict)

    def check_arrival(self, entry: str, sent: float, now: float) -> None:
        """Check a request that arrives.

        :param entry: that it comes from
        :param sent: when its caller sent it, in monotonic seconds
        :param now: monotonic seconds
        """
        for since, until in self._backoffs.get(entry, ()):
            late = since + IN_FLIGHT_SECONDS <= now < until
            if late and not self.is_excused(entry, since):
                text = f"{entry} sent {now - since:.2f} s after it was asked"
                self.violations.append(f"{text} to wait {until - since:.2f} s")
        told = self._leaving_since.get(entry)
        if told is not None and sent > told + IN_FLIGHT_SECONDS:
            if not self.is_excused(entry, told):
                text = f"{entry} sent what came {sent - told:.2f} s after"
                self.violations.append(
                    f"{text} the target said that it leaves"
                )

    def record_answer(self, entry: str, refused: bool, now: float) -> None:
        """Note what an answer asks of the entry that gets it."""
        if refused:
            self.refusals += 1
        if refused and self.rest is not None:
            kept = [r for r in self._backoffs.get(entry, ()) if r[1] > now]
            self._backoffs[entry] = [*kept, (now, now + self.rest)]
        if self.is_leaving:
            self._leaving_since.setdefault(entry, now)

    def make_headers(self, refused: bool) -> dict[str, str]:
        """Return what its answers say."""
        headers = {}
        if refused and self.rest is not None:
            headers["Retry-After"] = f"{self.rest:g}"
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def reset(self) -> None:
        """Start again: the next life has asked nobody for anything."""
        self.overloaded, self.rest, self.is_leaving = False, None, False
        self._backoffs.clear()
        self._leaving_since.clear()
