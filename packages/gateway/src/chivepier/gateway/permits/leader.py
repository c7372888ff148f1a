"""The leader as an entry asks it, however slowly it answers."""

import asyncio
import collections
import collections.abc

import attrs

from chivepier.gateway.messages import PermitAnswer
from chivepier.gateway.messages import PermitRequest
from chivepier.gateway.permits.permit import MOST_PERMIT_SECONDS
from chivepier.gateway.permits.permit import Permit
from chivepier.gateway.permits.permit import PERMIT_SECONDS
from chivepier.gateway.permits.question import Question
from chivepier.types import Clock

# Seconds that a request waits for an answer, before it goes elsewhere.
PROMPT_SECONDS = 0.1
# Leave is asked for so many times as long as answers take: it must still hold
# when it comes, and for what comes next.
LAPSE_FACTOR = 3.0
# Share of that time that stays with each answer that comes sooner.
KEPT_SHARE = 0.9
# Targets, classes and teams whose late leave is kept; leave lapses soon.
MOST_KEPT = 1_000

# Asks the leader for one send; nothing where no answer came.
Ask = collections.abc.Callable[
    [PermitRequest], collections.abc.Awaitable[PermitAnswer | None]
]


class Leader:
    """Asks, and keeps the leave that comes late for the next requests.

    Where the leader, the link or this entry is slow, leave would lapse before
    it can be used, each time anew, and nothing would be sent at all. So leave
    is asked for a longer time then, which the leader counts against it: late
    means fewer sends, and not none.

    :param ask: asks for one send
    :param clock: monotonic time
    """

    def __init__(self, ask: Ask, clock: Clock):
        self._ask = ask
        self._clock = clock
        self._kept: dict[tuple, collections.deque] = {}
        self._tasks: set[asyncio.Task] = set()
        self.lapse = PERMIT_SECONDS
        self.unanswered_at = float("-inf")

    async def ask(
        self, key: tuple[str, int, int, str], request: PermitRequest
    ) -> tuple[Question, PermitAnswer | None]:
        """Ask for one send.

        :param key: whose leave it is
        :param request: the question
        :returns: with the answer; ``None`` where it has not come yet
        """
        question = Question(key, self._clock.monotonic(), self.lapse)
        work = self._await_answer(
            question, attrs.evolve(request, permit_seconds=question.lapse)
        )
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(PROMPT_SECONDS):
                return question, await asyncio.shield(task)
        except TimeoutError:
            return question, None
        finally:
            question.awaited = False

    async def _await_answer(
        self, question: Question, request: PermitRequest
    ) -> PermitAnswer:
        answer = await self._ask(request)
        now = self._clock.monotonic()
        if answer is None:
            self.unanswered_at = now
            self._learn(question.lapse)
            return PermitAnswer(False, has_leader=False)
        self._learn(now - question.asked)
        if answer.granted and not question.awaited:
            self._keep(question, answer.wait)
        return answer

    def _keep(self, question: Question, wait: float) -> None:
        if len(self._kept) >= MOST_KEPT:
            self._kept.clear()
        since = question.asked + wait
        kept = self._kept.setdefault(question.key, collections.deque())
        kept.append((since, since + question.lapse))

    def _learn(self, seconds: float) -> None:
        wanted = max(LAPSE_FACTOR * seconds, KEPT_SHARE * self.lapse)
        self.lapse = min(MOST_PERMIT_SECONDS, max(PERMIT_SECONDS, wanted))

    def take_kept(self, key: tuple[str, int, int, str]) -> Permit | None:
        """Return leave that came late, if any can be used now."""
        kept = self._kept.get(key)
        if kept is None:
            return None
        now = self._clock.monotonic()
        while kept and kept[0][1] < now:
            kept.popleft()
        if not kept:
            del self._kept[key]
            return None
        since, until = kept[0]
        if now < since:
            return None
        kept.popleft()
        return Permit(until)
