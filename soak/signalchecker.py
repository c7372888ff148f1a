"""Checks that entries respect the signals in a target's answers."""

import collections.abc
import time

import attrs

# Seconds after an answer in which requests in flight may still arrive.
IN_FLIGHT_SECONDS = 0.5

IsExcused = collections.abc.Callable[[str, float], bool]


def excuse_none(entry: str, since: float) -> bool:
    """Exempt no entry: none of them has a fault."""
    return False


def make_sender_headers(entry: str) -> dict[str, str]:
    """Return headers that tell targets which entry got a request, and when.

    :param entry: address of the entry that the request is sent to
    """
    return {"X-Entry": entry, "X-Sent": str(time.monotonic())}


@attrs.define
class SignalChecker:
    """Sends backoff and leaving signals, and checks what entries send.

    :param overloaded: whether the target rejects requests
    :param rest: backoff that a rejection requests, in seconds
    :param is_leaving: whether all answers say that the target is leaving
    :param is_excused: tells whether an entry had a fault since a time
    :param violations: descriptions of the signals that entries ignored
    :param refusals: number of rejected requests
    """

    overloaded: bool = False
    rest: float | None = None
    is_leaving: bool = False
    is_excused: IsExcused = excuse_none
    violations: list[str] = attrs.field(factory=list)
    refusals: int = 0
    _backoffs: dict[str, list[tuple[float, float]]] = attrs.field(factory=dict)
    _leaving_since: dict[str, float] = attrs.field(factory=dict)

    def check_arrival(self, entry: str, sent: float, now: float) -> bool:
        """Check a request that arrives.

        :param entry: address of the entry that sent it
        :param sent: time at which its caller sent it, in monotonic seconds
        :param now: current time, in monotonic seconds
        :returns: whether the entry ignored a signal
        """
        before = len(self.violations)
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
        return len(self.violations) > before

    def record_answer(self, entry: str, refused: bool, now: float) -> None:
        """Record the signals in an answer to an entry."""
        if refused:
            self.refusals += 1
        if refused and self.rest is not None:
            kept = [r for r in self._backoffs.get(entry, ()) if r[1] > now]
            self._backoffs[entry] = [*kept, (now, now + self.rest)]
        if self.is_leaving:
            self._leaving_since.setdefault(entry, now)

    def make_headers(self, refused: bool) -> dict[str, str]:
        """Return the headers that carry the signals."""
        headers = {}
        if refused and self.rest is not None:
            headers["Retry-After"] = f"{self.rest:g}"
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    def reset(self) -> None:
        """Forget all signals, as the target restarts."""
        self.overloaded, self.rest, self.is_leaving = False, None, False
        self._backoffs.clear()
        self._leaving_since.clear()
