"""Sending again, within a budget that all entries share."""

from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.serving.retrywindow import BUCKETS
from chivepier.gateway.serving.retrywindow import RetryWindow

# Share of the allowance that is used at all. Entries learn of each other with
# a delay, and one that has just started counts too few others.
USED_SHARE = 0.7
# Shares of the fixed allowance: what each entry has a right to, and what is
# lent to those that ask first. Together no more than is used at all.
OWN_SHARE = 0.4
LENT_SHARE = 0.3
# Seconds after which what the others have borrowed is no longer known: they
# are told of everything twice in that time.
KNOWN_SECONDS = 3.5
# Seconds between two loans to one entry: until the others know of the last.
LOAN_SECONDS = 0.1


class RetryBudget:
    """Counts by service over a sliding window.

    A target that fails everything would else double its own load, at the
    moment when it can bear it least. Each entry takes a part of its own
    requests, and an equal part of the fixed allowance.

    With many entries an equal part is next to nothing, and callers keep to a
    few entries. So a part of the allowance is lent, while all entries together
    have not borrowed it.

    >>> budget = RetryBudget(ratio=0.2, extra=10, window=10)
    >>> budget.note_request("s", 0.0)
    >>> [budget.take("s", 0.0, entries=2) for _ in range(5)]
    [True, True, True, False, False]

    :param ratio: repeats for each request
    :param extra: repeats that all entries together may always send
    :param window: its length in seconds
    :param me: this entry's name
    """

    def __init__(
        self, ratio: float, extra: float, window: float, me: str = ""
    ):
        self._me = me
        self._ratio = ratio
        self._extra = extra
        self._step = window / BUCKETS
        self._windows: dict[str, RetryWindow] = {}
        self._slot = 0
        self._others: dict[tuple[str, str], int] = {}
        self._told_at: float | None = None

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service.

        :param service: its name
        :param now: monotonic seconds
        """
        self._find(service, now).requests[-1] += 1

    def take(self, service: str, now: float, entries: int) -> bool:
        """Count one repeat, if it is within the budget.

        :param service: its name
        :param now: monotonic seconds
        :param entries: how many entries share the allowance
        :returns: whether it may be sent
        """
        window = self._find(service, now)
        lends = self._knows_others(now)
        share = OWN_SHARE if lends else USED_SHARE
        allowed = USED_SHARE * self._ratio * sum(window.requests)
        allowed += share * self._extra / max(1, entries)
        own = sum(window.repeats) - sum(window.lent)
        if own + 1 > allowed:
            if not lends or not self._borrow(service, window, now):
                return False
            window.lent[-1] += 1
        window.repeats[-1] += 1
        return True

    def take_told(
        self, repeats: tuple[RepeatRecord, ...], whole: bool, now: float
    ) -> None:
        """Take what other entries have borrowed.

        :param repeats: their counts
        :param whole: whether others have borrowed nothing
        :param now: monotonic seconds
        """
        self._told_at = now
        if whole:
            self._others.clear()
        for record in repeats:
            if record.entry != self._me:
                self._others[(record.entry, record.service)] = record.used

    def own(self, now: float) -> list[RepeatRecord]:
        """Return what this entry has borrowed, by service.

        :param now: monotonic seconds
        """
        self._advance(int(now / self._step))
        return [
            RepeatRecord(self._me, service, sum(window.lent))
            for service, window in self._windows.items()
        ]

    def _knows_others(self, now: float) -> bool:
        return (
            self._told_at is not None and now - self._told_at < KNOWN_SECONDS
        )

    def _borrow(self, service: str, window: RetryWindow, now: float) -> bool:
        recent = window.lent_at is not None
        if recent and now - window.lent_at < LOAN_SECONDS:
            return False
        lent = sum(window.lent) + sum(
            used for (_, name), used in self._others.items() if name == service
        )
        if lent + 1 > LENT_SHARE * self._extra:
            return False
        window.lent_at = now
        return True

    def _find(self, service: str, now: float) -> RetryWindow:
        self._advance(int(now / self._step))
        if service not in self._windows:
            self._windows[service] = RetryWindow()
        return self._windows[service]

    def _advance(self, slot: int) -> None:
        for _ in range(min(slot - self._slot, BUCKETS)):
            for window in self._windows.values():
                window.advance()
        self._slot = max(self._slot, slot)
