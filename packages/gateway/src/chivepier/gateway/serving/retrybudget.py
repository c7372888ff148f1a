"""Sending again, within a budget that all entries share."""

import collections

# Share of the common allowance that is used. Entries learn of each other
# with a delay, and one that has just started counts too few others.
USED_SHARE = 0.7
BUCKETS = 10


class _Window:
    def __init__(self) -> None:
        self.requests = collections.deque([0] * BUCKETS, BUCKETS)
        self.repeats = collections.deque([0] * BUCKETS, BUCKETS)


class RetryBudget:
    """Counts by service over a sliding window.

    A target that fails everything would else double its own load, at the
    moment when it can bear it least. Each entry takes its own share: a part
    of its own requests, and an equal part of the fixed allowance.

    >>> budget = RetryBudget(ratio=0.2, extra=10, window=10)
    >>> budget.note_request("s", 0.0)
    >>> [budget.take("s", 0.0, entries=2) for _ in range(5)]
    [True, True, True, False, False]

    :param ratio: repeats for each request
    :param extra: repeats that all entries together may always send
    :param window: its length in seconds
    """

    def __init__(self, ratio: float, extra: float, window: float):
        self._ratio = ratio
        self._extra = extra
        self._step = window / BUCKETS
        self._windows: dict[str, _Window] = {}
        self._slot = 0

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
        allowed = self._ratio * sum(window.requests)
        allowed += self._extra / max(1, entries)
        if sum(window.repeats) + 1 > USED_SHARE * allowed:
            return False
        window.repeats[-1] += 1
        return True

    def _find(self, service: str, now: float) -> _Window:
        self._advance(int(now / self._step))
        if service not in self._windows:
            self._windows[service] = _Window()
        return self._windows[service]

    def _advance(self, slot: int) -> None:
        for _ in range(min(slot - self._slot, BUCKETS)):
            for window in self._windows.values():
                window.requests.append(0)
                window.repeats.append(0)
        self._slot = max(self._slot, slot)
