"""Waits for sockets without letting real time count."""

import collections.abc
import selectors

# Real seconds in which bytes on their way through the loopback arrive.
SETTLE_SECONDS = 0.001
# Most played seconds that pass at a time: bytes that the loopback holds up
# for longer come late by little.
STEP_SECONDS = 0.02


class PlayedSelector(selectors.DefaultSelector):
    """Lets played time pass where a loop would wait for a timer.

    :param is_waiting: tells whether a thread works, for which time stands
        still
    :param let_pass: is told the seconds that pass
    """

    def __init__(
        self,
        is_waiting: collections.abc.Callable[[], bool],
        let_pass: collections.abc.Callable[[float], None],
    ):
        super().__init__()
        self._is_waiting = is_waiting
        self._let_pass = let_pass

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready, after played seconds at most.

        :param timeout: played seconds; ``None`` waits for sockets alone
        """
        if timeout is None or self._is_waiting():
            return super().select(timeout if timeout == 0 else None)
        events = super().select(0)
        if not events and timeout > 0:
            events = super().select(SETTLE_SECONDS)
            if not events:
                self._let_pass(min(timeout, STEP_SECONDS))
                return events
        self._let_pass(0.0)
        return events
