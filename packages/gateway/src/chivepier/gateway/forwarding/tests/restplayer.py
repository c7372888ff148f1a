"""Plays a break of a stream and what comes where its rest is due."""

import asyncio

import attrs

from chivepier.gateway.forwarding.tests.closinganswer import ClosingAnswer
from chivepier.gateway.forwarding.tests.follow import ERROR_HEAD
from chivepier.gateway.forwarding.tests.follow import Follow
from chivepier.gateway.forwarding.tests.follow import TEXT_LINE
from chivepier.gateway.forwarding.tests.restcase import EVENTS
from chivepier.gateway.forwarding.tests.restcase import RestCase
from chivepier.gateway.forwarding.tests.restsend import RestSend
from chivepier.gateway.forwarding.tests.restways import Break
from chivepier.gateway.forwarding.tests.restways import Kind
from chivepier.gateway.forwarding.tests.restways import Way
from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving import ConnectionLostError
from chivepier.gateway.serving.errors import UnreachableError
from chivepier.gateway.serving.tests.fakeengines import FakeAnswer
from chivepier.gateway.serving.tests.fakeengines import FakeCaller
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import make_route
from chivepier.gateway.serving.tests.parts import RESUMABLE
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.standins.loopclock import tell_time
from chivepier.types import RequestError

TARGETS = ("a", "b", "c", "d", "e", "f")
ALL = (*TARGETS, *(f"w-{name}" for name in TARGETS))
# Requests that earn the budget more repeats than a stream needs.
EARNING_REQUESTS = 100
# Longer than a run waits to go on at another target than its copy's.
BACKOFF_SECONDS = 30.0


class RestPlayer:
    """Breaks off a stream, as a case tells, and answers what follows.

    :param case: the break and what follows it
    :param site: two entries that reach the same targets
    :ivar caller: what the caller got
    :ivar sends: what each target did that was asked, in order
    """

    def __init__(self, case: RestCase, site):
        self._case = case
        self._site = site
        self.caller = FakeCaller()
        self.sends: list[RestSend] = []
        self._first: FakeAnswer | None = None
        self._last = case.first - 1
        self._follows = 0
        routes = (
            make_route(),
            attrs.evolve(RESUMABLE, attempts=case.attempts),
        )
        for entry in site.entries:
            parts = entry.parts
            parts.configure(routes=routes, version=2)
            parts.engines.first_number = case.first
            for _ in range(EARNING_REQUESTS):
                parts.dispatcher.budget.note_request("llm", tell_time())
            self._script(parts.engines)

    @property
    def was_stopped(self) -> bool:
        """Whether the first run was stopped for a move."""
        return self._first is not None and self._first.stopped

    async def play(self) -> None:
        """Play until the caller is told something."""
        case, entry = self._case, self._site.entries[0]
        if case.way.is_forwarded:
            entry.cut(*ALL)
        if case.way is Way.SOURCE:
            self._keep_from_destinations(entry.parts)
        request = make_request(case.way.path)
        if case.way.is_taken_up:
            self._last = case.first + case.events - 1
            request = attrs.evolve(request, last_event=str(self._last))
        self.caller, task = entry.parts.start(request)
        if not case.way.is_taken_up:
            await self._break_off(entry, task)
        try:
            await task
        except RequestError:
            assert not self.caller.begun

    async def _break_off(self, entry, task: asyncio.Task) -> None:
        case, caller = self._case, self.caller
        await wait_until(lambda: self._first is not None)
        run = self._first
        run.make(case.events)
        await caller.wait_events(case.events)
        self._last += case.events
        run.make(0, case.part.replace("{next}", str(self._last + 1)))
        await wait_until(lambda: run.is_read)
        if case.way is Way.REST:
            entry.cut(*ALL)
        if case.way.moves:
            entry.parts.leave(run.target)
            await wait_until(lambda: run.stopped or task.done())
        else:
            self._end_first(run)
        self._note_first(run)

    def _end_first(self, run: FakeAnswer) -> None:
        match self._case.ends:
            case Break.RESET:
                run.cut()
            case Break.CLOSE:
                run.end()
            case Break.HEAD:
                run.make(0, ERROR_HEAD + "bad")
                run.end()
            case Break.TEXT:
                run.make(0, TEXT_LINE)
                run.end()

    def _note_first(self, run: FakeAnswer) -> None:
        case = self._case
        is_foreign = case.ends.is_foreign and not run.stopped
        # an error on the line of a part hides it
        has_part = "\n" in case.part if is_foreign else bool(case.part)
        self.sends[0] = RestSend(
            kind=Kind.PIECE if is_foreign else Kind.FIRST,
            events=case.events > 0,
            new_events=case.events > 0,
            part=has_part,
            stopped=run.stopped,
            orderly=case.ends is Break.CLOSE and not run.stopped,
            framed=case.framed,
        )

    def _keep_from_destinations(self, parts) -> None:
        """Have destinations ask not to be called once the run has stopped."""
        move = parts.engines.move

        async def move_and_back_off(source, identity, destination, *rest):
            result = await move(source, identity, destination, *rest)
            if self.was_stopped:
                parts.backoffs.add(
                    destination.instance, 0, BACKOFF_SECONDS, tell_time()
                )
            return result

        parts.engines.move = move_and_back_off

    def _script(self, engines) -> None:
        async def send(target, request, order, contact):
            if target.instance in engines.unreachable:
                raise UnreachableError("refused")
            is_first = self._first is None and not self._case.way.is_taken_up
            follow = None if is_first else self._take_follow()
            if follow is not None and follow.kind is Kind.UNREACHABLE:
                self.sends.append(RestSend(kind=follow.kind))
                raise UnreachableError("refused")
            contact.begin()
            engines.orders.append((target.instance, order))
            if follow is not None and follow.kind is Kind.LOST:
                self.sends.append(RestSend(kind=follow.kind))
                raise ConnectionLostError("reset")
            answer = self._make_answer(target, request, follow)
            engines.answers.append(answer)
            contact.record_head(answer.facts)
            return answer

        engines.send = send

    def _take_follow(self) -> Follow:
        follow = self._case.find_follow(self._follows)
        self._follows += 1
        return follow

    def _make_answer(
        self, target, request, follow: Follow | None
    ) -> FakeAnswer:
        case = self._case
        is_closing = follow is None and case.ends is Break.CLOSE
        make = ClosingAnswer if is_closing else FakeAnswer
        answer = make(target.instance, request.id, self._last)
        if follow is None:
            answer.facts = AnswerFacts(framed=case.framed)
            self._first = answer
            self.sends.append(RestSend(kind=Kind.FIRST))
            return answer
        framed = case.next_framed and follow.kind is not Kind.CLOSES
        answer.facts = AnswerFacts(framed=framed, **follow.facts)
        answer.status = follow.status
        answer.headers += follow.headers
        self._fill(answer, follow)
        return answer

    def _fill(self, answer: FakeAnswer, follow: Follow) -> None:
        """Send a whole body, and its end."""
        last = self._case.first + EVENTS - 1
        had = self._last
        if follow.kind is Kind.REPEATS:
            answer.number = self._case.first - 1
        if follow.kind in (Kind.SOUND, Kind.REPEATS):
            answer.make(last - answer.number)
        elif follow.has_series:
            leads = max(follow.leads, self._case.leads)
            answer.make(min(leads, last - answer.number))
        self._last = max(had, answer.number)
        number = answer.number
        text = follow.text.format(last=number, next=number + 1)
        answer.make(0, text)
        if follow.kind is Kind.CUT:
            answer.cut()
        else:
            answer.end()
            # once for the read that waits for the first event
            answer.end()
        self.sends.append(
            RestSend(
                kind=follow.kind,
                events=follow.kind is Kind.REPEATS or number > had,
                new_events=number > had,
                part=bool(text) and follow.kind in (Kind.CUT, Kind.CLOSES),
                orderly=follow.kind is not Kind.CUT,
                framed=answer.facts.framed,
            )
        )
