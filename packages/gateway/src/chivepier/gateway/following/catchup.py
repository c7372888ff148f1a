"""Lets requests wait until voters have told what they know now."""

import asyncio
import collections.abc

from chivepier.types import Clock
from chivepier.types import Signal

# Seconds for which requests are gathered before the voters are asked.
GATHER_SECONDS = 0.02
# Seconds that a request waits for the voters.
WAIT_SECONDS = 0.25

IsEnough = collections.abc.Callable[[float], bool]


class CatchUp:
    """Lets requests wait until voters have told what they know now.

    One question serves all requests that came before it. None waits for a
    question of others that stays unanswered: where this entry is cut off, all
    its callers must be free to go elsewhere at once.

    :param ask: asks all voters
    :param clock: clock that also counts suspension
    """

    def __init__(self, ask: collections.abc.Callable[[], None], clock: Clock):
        self._ask = ask
        self._clock = clock
        self._answered = Signal()
        self._next: asyncio.Task | None = None

    def note_answer(self) -> None:
        """Record that an answer of a voter has been merged."""
        self._answered.set()

    async def wait(self, is_enough: IsEnough) -> bool:
        """Wait for enough answers to questions that are asked after now.

        :param is_enough: tells whether enough voters have answered a question
            asked after a time, in monotonic seconds
        :returns: whether they have, in time
        """
        began = self._clock.monotonic()
        if self._next is None:
            self._next = asyncio.create_task(self._ask_soon())
        end = began + WAIT_SECONDS
        while not is_enough(began):
            left = end - self._clock.monotonic()
            if left <= 0.0 or not await self._answered.wait(left):
                return False
        return True

    async def _ask_soon(self) -> None:
        await self._clock.sleep(GATHER_SECONDS)
        self._next = None
        self._ask()
