"""Permit requests of an entry to the leader."""

import asyncio
import collections
import collections.abc

import attrs

from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits.pendingrequest import PendingRequest
from chivepier.gateway.permits.permit import MAX_PERMIT_SECONDS
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.types import Clock

# Seconds that a request waits for the leader before it tries another target.
ANSWER_TIMEOUT_SECONDS = 0.1
# Requested permit lifetime as a multiple of the leader's response time: a
# permit must still be valid when it arrives, and for the next request.
PERMIT_FACTOR = 3.0
# Factor by which the requested lifetime shrinks at most per faster response.
PERMIT_DECAY = 0.9
# Maximum number of (target, class, team) keys with late permits; permits
# expire soon.
MAX_UNUSED_KEYS = 1_000

# Asks the leader for one permit; returns None if no answer came.
Ask = collections.abc.Callable[
    [PermitRequest], collections.abc.Awaitable[PermitAnswer | None]
]


class PermitClient:
    """Requests permits and keeps late ones for the next requests.

    If the leader, the network or this entry is slow, every permit could expire
    before it is used, and nothing would be sent. The client then requests a
    longer lifetime. The leader counts such permits for longer, so slow answers
    reduce the send rate but do not stop sends.

    :param ask: sends one permit request to the leader
    :param clock: source of monotonic time
    """

    def __init__(self, ask: Ask, clock: Clock):
        self._ask = ask
        self._clock = clock
        self._unused: dict[tuple, collections.deque] = {}
        self._tasks: set[asyncio.Task] = set()
        self.permit_seconds = PERMIT_SECONDS
        self.last_unanswered_at = float("-inf")

    async def ask(
        self, key: tuple[str, int, int, str], request: PermitRequest
    ) -> tuple[PendingRequest, PermitAnswer | None]:
        """Request a permit for one send.

        :param key: target, incarnation, urgency class and team of the permit
        :param request: message to the leader
        :returns: the pending request and the answer; ``None`` in place of the
            answer if it has not arrived in time
        """
        pending = PendingRequest(
            key, self._clock.monotonic(), self.permit_seconds
        )
        work = self._await_answer(
            pending,
            attrs.evolve(request, permit_seconds=pending.permit_seconds),
        )
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return pending, await asyncio.shield(task)
        except TimeoutError:
            return pending, None
        finally:
            pending.is_awaited = False

    async def _await_answer(
        self, pending: PendingRequest, request: PermitRequest
    ) -> PermitAnswer:
        answer = await self._ask(request)
        now = self._clock.monotonic()
        if answer is None:
            self.last_unanswered_at = now
            self._adapt_permit_seconds(pending.permit_seconds)
            return PermitAnswer(False, has_leader=False)
        self._adapt_permit_seconds(now - pending.asked_at)
        if answer.granted and not pending.is_awaited:
            self._store_unused(pending, answer.wait)
        return answer

    def _store_unused(self, pending: PendingRequest, wait: float) -> None:
        if len(self._unused) >= MAX_UNUSED_KEYS:
            self._unused.clear()
        since = pending.asked_at + wait
        kept = self._unused.setdefault(pending.key, collections.deque())
        kept.append((since, since + pending.permit_seconds))

    def _adapt_permit_seconds(self, seconds: float) -> None:
        wanted = max(
            PERMIT_FACTOR * seconds, PERMIT_DECAY * self.permit_seconds
        )
        self.permit_seconds = min(
            MAX_PERMIT_SECONDS, max(PERMIT_SECONDS, wanted)
        )

    def take_unused(self, key: tuple[str, int, int, str]) -> Permit | None:
        """Return a permit that arrived late and is valid now, if any."""
        kept = self._unused.get(key)
        if kept is None:
            return None
        now = self._clock.monotonic()
        while kept and kept[0][1] < now:
            kept.popleft()
        if not kept:
            del self._unused[key]
            return None
        since, until = kept[0]
        if now < since:
            return None
        kept.popleft()
        return Permit(until)
