"""How many ends of streams are checked at another target."""

# Checks that a service begins with, and the most that it can save.
INITIAL_CHECKS = 1.0
MAX_CHECKS = 3.0
# Checks earned by each stream whose length or chunks told its end.
EARNED_CHECKS = 0.1


class Confirmations:
    """Bounds the checks of ends without a length, by service.

    Where targets frame their streams as a rule, one without a length is likely
    to have broken off. Where none is framed, a check of each would double the
    work of the targets, so it is streams with a framing that earn them.

    >>> checks = Confirmations()
    >>> checks.take("s"), checks.take("s")
    (True, False)
    >>> for _ in range(10):
    ...     checks.note_framed("s")
    >>> checks.take("s")
    True
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def note_framed(self, service: str) -> None:
        """Count a stream whose framing told that it is whole.

        :param service: name of the service
        """
        saved = self._saved.get(service, INITIAL_CHECKS)
        self._saved[service] = min(MAX_CHECKS, saved + EARNED_CHECKS)

    def take(self, service: str) -> bool:
        """Take one check, if there is one.

        :param service: name of the service
        :returns: whether an end may be checked
        """
        saved = self._saved.get(service, INITIAL_CHECKS)
        # sums of tenths fall short of a whole by rounding
        if saved < 1.0 - EARNED_CHECKS / 2:
            return False
        self._saved[service] = max(0.0, saved - 1.0)
        return True
