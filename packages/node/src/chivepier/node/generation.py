"""One answer, from one generation, at one of several targets."""

import asyncio
import collections.abc
import contextlib

import attrs

from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.node.asking import acquire_permit
from chivepier.node.attempt import Attempt
from chivepier.node.completion import Completion
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.node.streammeter import StreamMeter
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

RETRIED = (ErrorKind.TARGET_FAILED, ErrorKind.GENERATION_LOST)
CERTAINTY = (Ran.NO, Ran.UNKNOWN, Ran.YES)
# a caller's own "adapter" would pass by the team's list of adapters
OVERRULED = ("max_completion_tokens", "adapter")


class Generation:
    """Gets an answer under a permit, elsewhere if its target fails.

    A generation changes nothing outside, so until the caller has its first
    token another one may take its place.  From then on there is none.

    ``dispatched`` is set once a target may have had it.

    :param once: the caller marked the request non-idempotent: it goes to a
        second target only if it is proven not to have run at the first
    """

    def __init__(
        self,
        entry: Entry,
        service: Service,
        ask: Completion,
        once: bool = False,
    ):
        self._entry = entry
        self._service = service
        self._ask = ask
        self._once = once
        self._excluded: tuple[str, ...] = ()
        self._ran = Ran.NO
        self._delivered = False
        self.dispatched = False
        self._meter = StreamMeter(
            entry.metrics,
            service.team,
            service.urgency.name.lower(),
            asyncio.get_running_loop().time(),
        )
        self._budget = entry.budgets.of(service.template.pool)
        self._budget.earn()

    async def stream(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield whole events as they arrive.

        :raises RequestError: when the answer can't be completed
        """
        while True:
            request, permit = await self._acquire()
            try:
                events = self._attempt(request, permit, resumable=True)
                async with contextlib.aclosing(events):
                    async for data in events:
                        self._delivered = True
                        yield data
                return
            except RequestError as error:
                self._weigh(error.failure, permit)

    async def collect(self) -> bytes:
        """Return all events of a whole answer.

        Nothing is delivered before the end, so a target may fail at any
        token and the answer still be had whole from another.

        :returns: the events, ``[DONE]`` last
        :raises RequestError: when the answer can't be completed
        """
        while True:
            request, permit = await self._acquire()
            try:
                events = self._attempt(request, permit, resumable=False)
                async with contextlib.aclosing(events):
                    return b"".join([data async for data in events])
            except RequestError as error:
                self._weigh(error.failure, permit)

    async def _acquire(self) -> tuple[PermitRequest, PermitAnswer]:
        request = self._permit_request()
        loop = asyncio.get_running_loop()
        asked = loop.time()
        try:
            asked_for, permit = await acquire_permit(
                self._entry, request, self._name_prefix(request)
            )
        except RequestError as error:
            raise RequestError(self._admit_run(error.failure)) from None
        self._meter.note_permit(loop.time() - asked)
        return asked_for, permit

    def _name_prefix(self, request: PermitRequest) -> str:
        # a short prompt has no prefix worth keeping together
        return str(request.prefix[0]) if request.prefix else request.request

    def _admit_run(self, failure: Failure) -> Failure:
        # "not run" must hold for every target that was tried
        known = CERTAINTY.index(self._ran)
        if CERTAINTY.index(failure.ran) >= known:
            return failure
        return attrs.evolve(failure, ran=self._ran)

    def _weigh(self, failure: Failure, permit: PermitAnswer) -> None:
        """Return when another target may be tried, else raise."""
        failure = self._admit_run(failure)
        self._ran = failure.ran
        fits = failure.kind in RETRIED and not self._delivered
        if self._once and failure.ran is not Ran.NO:
            fits = False
        if not fits or not self._budget.spend():
            raise RequestError(failure)
        self._entry.metrics.retries.labels(failure.kind.value).inc()
        self._excluded += (permit.target,)

    def _limit(self) -> int:
        limit = self._service.max_output_tokens
        if self._ask.max_tokens is None:
            return limit
        return min(limit, self._ask.max_tokens)

    def _permit_request(self) -> PermitRequest:
        service = self._service
        return PermitRequest(
            self._entry.permits.name_request(),
            service.template.pool,
            0,
            service.team,
            service.template_name,
            service.template.model,
            self._ask.adapter,
            int(service.urgency),
            self._ask.prompt_tokens,
            self._limit(),
            self._ask.hash_prefixes(service.team),
            self._entry.cluster.settings.zone,
            self._entry.cluster.peer_address,
            self._entry.patience.queue,
            self._excluded,
        )

    async def _attempt(
        self, request: PermitRequest, permit: PermitAnswer, resumable: bool
    ) -> collections.abc.AsyncIterator[bytes]:
        outcome = PermitOutcome.CANCELLED
        attempt = None
        linger = 0.0
        try:
            with self._entry.permits.hold(request, permit) as inflight:
                http = self._entry.once if self._once else self._entry.http
                attempt = Attempt(
                    self._entry, self._service, inflight, http, self._meter
                )
                self.dispatched = True
                events = attempt.run(*self._render())
                async with contextlib.aclosing(events):
                    async for data in events:
                        yield data
            outcome = PermitOutcome.FINISHED
        except RequestError as error:
            outcome = PermitOutcome.TARGET_FAILED
            if error.failure.ran is Ran.NO:
                outcome = PermitOutcome.NOT_RUN
            elif error.failure.kind is ErrorKind.STOPPED_EARLY:
                outcome = PermitOutcome.CANCELLED
            raise
        except (GeneratorExit, asyncio.CancelledError):
            if resumable and self._delivered:
                linger = self._entry.patience.resumption
            raise
        finally:
            work = self._finish(request, permit, attempt, outcome, linger)
            self._entry.background.spawn(work)

    def _render(self) -> tuple[str, dict]:
        ask = self._ask
        path = "chat/completions" if "messages" in ask.body else "completions"
        body = dict(ask.body)
        for field in OVERRULED:
            body.pop(field, None)
        body["model"] = self._service.template.model
        body["stream"] = True
        body["max_tokens"] = self._limit()
        body["priority"] = int(self._service.urgency)
        body["cache_salt"] = self._service.team
        if ask.adapter:
            body["adapter"] = ask.adapter
        return path, body

    async def _finish(
        self,
        request: PermitRequest,
        permit: PermitAnswer,
        attempt: Attempt | None,
        outcome: PermitOutcome,
        linger: float,
    ) -> None:
        """Give the permit back, once the engine's memory is free again."""
        tokens = attempt.tokens if attempt else 0
        try:
            if attempt is not None:
                await attempt.end(linger)
        finally:
            report = ReleaseReport(
                self._entry.cluster.holder,
                request.pool,
                request.shard,
                permit.permit,
                tokens,
                int(outcome),
            )
            await self._entry.permits.release(report)
            if self._delivered or tokens:
                self._meter.end(tokens)
