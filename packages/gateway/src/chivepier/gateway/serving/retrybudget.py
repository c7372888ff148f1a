"""Limiting retries to a budget that all entries share."""

from chivepier.gateway.messages import RepeatRecord
from chivepier.gateway.serving.retrywindow import BUCKETS
from chivepier.gateway.serving.retrywindow import RetryWindow

# Fraction of the budget that is used at all: entries learn of each other's
# loans with a delay, and one that has just started knows too few entries.
USABLE_FRACTION = 0.7
# Fractions of the fixed allowance: the part divided equally among entries, and
# the part lent on a first-come basis. Their sum must not exceed
# USABLE_FRACTION.
GUARANTEED_FRACTION = 0.4
LENDABLE_FRACTION = 0.3
# Seconds after which the loans of other entries count as unknown; full reports
# arrive twice in that time.
PEER_COUNTS_TTL_SECONDS = 3.5
# Seconds between two loans to one entry, in which the other entries learn of
# the first.
LOAN_INTERVAL_SECONDS = 0.1


class RetryBudget:
    """Limits retries per service over a sliding window.

    Without a limit, a target that fails every request would double its load
    when it can handle it least. Each entry may retry a fraction of its own
    requests, plus an equal part of a fixed allowance.

    With many entries an equal part is almost nothing, and callers use only a
    few entries. So a part of the allowance is lent to entries that need it,
    until all entries together have borrowed all of it.

    >>> budget = RetryBudget(ratio=0.2, extra=10, window=10)
    >>> budget.note_request("s", 0.0)
    >>> [budget.take("s", 0.0, entries=2) for _ in range(5)]
    [True, True, True, False, False]

    :param ratio: allowed retries per request
    :param extra: fixed allowance of retries per window, for all entries
        together
    :param window: length of the window in seconds
    :param entry: name of this entry
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

        :param service: name of the service
        :param now: current monotonic time in seconds
        """
        self._get_window(service, now).requests[-1] += 1

    def take(self, service: str, now: float, entries: int) -> bool:
        """Count one retry, if it is within the budget.

        :param service: name of the service
        :param now: current monotonic time in seconds
        :param entries: number of entries that share the allowance
        :returns: whether the retry may be sent
        """
        window = self._get_window(service, now)
        can_borrow = self._has_fresh_peer_counts(now)
        share = GUARANTEED_FRACTION if can_borrow else USABLE_FRACTION
        allowed = USABLE_FRACTION * self._ratio * sum(window.requests)
        allowed += share * self._extra / max(1, entries)
        own = sum(window.retries) - sum(window.borrowed)
        if own + 1 > allowed:
            if not can_borrow or not self._borrow(service, window, now):
                return False
            window.borrowed[-1] += 1
        window.retries[-1] += 1
        return True

    def update_peer_loans(
        self, repeats: tuple[RepeatRecord, ...], whole: bool, now: float
    ) -> None:
        """Update the loans of other entries.

        :param repeats: their numbers of borrowed retries
        :param whole: whether entries not listed have borrowed nothing
        :param now: current monotonic time in seconds
        """
        self._peer_loans_at = now
        if whole:
            self._peer_loans.clear()
        for record in repeats:
            if record.entry != self._entry:
                self._peer_loans[(record.entry, record.service)] = record.used

    def list_loans(self, now: float) -> list[RepeatRecord]:
        """Return this entry's borrowed retries of each service.

        :param now: current monotonic time in seconds
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
