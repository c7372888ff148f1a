"""Sending again, within a budget that all entries share."""

from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.serving.retrywindow import BUCKETS
from chivepier.gateway.serving.retrywindow import RetryWindow

# Share of the allowance that is used at all. Entries learn of each other with
# a delay, and one that has just started counts too few others.
USABLE_FRACTION = 0.7
# Shares of the fixed allowance: what each entry has a right to, and what is
# lent to those that ask first. Together no more than is used at all.
GUARANTEED_FRACTION = 0.4
LENDABLE_FRACTION = 0.3
# Seconds after which what the others have borrowed is no longer known: they
# are told of everything twice in that time.
PEER_COUNTS_TTL_SECONDS = 3.5
# Seconds between two loans to one entry: until the others know of the last.
LOAN_INTERVAL_SECONDS = 0.1


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
    :param entry: this entry's name
    """

    def __init__(
        self, ratio: float, extra: float, window: float, entry: str = ""
    ):
        self._entry = entry
        self._ratio = ratio
        self._extra = extra
        self._step = window / BUCKETS
        self._windows: dict[str, RetryWindow] = {}
        self._slot = 0
        self._peer_loans: dict[tuple[str, str], int] = {}
        self._peer_loans_at: float | None = None

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service.

        :param service: its name
        :param now: monotonic seconds
        """
        self._get_window(service, now).requests[-1] += 1

    def take(self, service: str, now: float, entries: int) -> bool:
        """Count one repeat, if it is within the budget.

        :param service: its name
        :param now: monotonic seconds
        :param entries: how many entries share the allowance
        :returns: whether it may be sent
        """
        window = self._get_window(service, now)
        can_borrow = self._has_fresh_peer_counts(now)
        share = GUARANTEED_FRACTION if can_borrow else USABLE_FRACTION
        allowed = USABLE_FRACTION * self._ratio * sum(window.requests)
        allowed += share * self._extra / max(1, entries)
        own = sum(window.repeats) - sum(window.borrowed)
        if own + 1 > allowed:
            if not can_borrow or not self._borrow(service, window, now):
                return False
            window.borrowed[-1] += 1
        window.repeats[-1] += 1
        return True

    def update_peer_loans(
        self, repeats: tuple[RepeatRecord, ...], whole: bool, now: float
    ) -> None:
        """Take what other entries have borrowed.

        :param repeats: their counts
        :param whole: whether others have borrowed nothing
        :param now: monotonic seconds
        """
        self._peer_loans_at = now
        if whole:
            self._peer_loans.clear()
        for record in repeats:
            if record.entry != self._entry:
                self._peer_loans[(record.entry, record.service)] = record.used

    def list_loans(self, now: float) -> list[RepeatRecord]:
        """Return what this entry has borrowed, by service.

        :param now: monotonic seconds
        """
        self._advance(int(now / self._step))
        return [
            RepeatRecord(self._entry, service, sum(window.borrowed))
            for service, window in self._windows.items()
        ]

    def _has_fresh_peer_counts(self, now: float) -> bool:
        return (
            self._peer_loans_at is not None
            and now - self._peer_loans_at < PEER_COUNTS_TTL_SECONDS
        )

    def _borrow(self, service: str, window: RetryWindow, now: float) -> bool:
        recent = window.borrowed_at is not None
        if recent and now - window.borrowed_at < LOAN_INTERVAL_SECONDS:
            return False
        lent = sum(window.borrowed) + sum(
            used
            for (_, name), used in self._peer_loans.items()
            if name == service
        )
        if lent + 1 > LENDABLE_FRACTION * self._extra:
            return False
        window.borrowed_at = now
        return True

    def _get_window(self, service: str, now: float) -> RetryWindow:
        self._advance(int(now / self._step))
        if service not in self._windows:
            self._windows[service] = RetryWindow()
        return self._windows[service]

    def _advance(self, slot: int) -> None:
        for _ in range(min(slot - self._slot, BUCKETS)):
            for window in self._windows.values():
                window.advance()
        self._slot = max(self._slot, slot)
