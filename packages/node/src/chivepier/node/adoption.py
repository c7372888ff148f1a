"""The permit of a generation that is read on here."""

import asyncio
import collections.abc
import contextlib

from chivepier.membership import find_shard
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.node.handle import Handle
from chivepier.node.inflight import Inflight
from chivepier.types import RequestError

RETRY_SECONDS = 1.0


class Adoption:
    """Lets the owner count a resumed generation as this entry's.

    Without it the owner takes the generation for lost with its first entry:
    it hears of no progress, sends its stop orders in vain and learns of the
    end from the target's late reports.

    The caller's tokens come first.  The owner is asked beside the stream,
    once an event has come: a generation that its engine no longer has must
    not get a permit.  While no owner answers, the stream goes on without
    one, uncounted here, and the owner is asked again.

    :param service: the template as the caller's team may use it
    :param stop: ends the stream early; its argument is when to come back,
        in seconds
    """

    def __init__(
        self,
        entry: Entry,
        handle: Handle,
        service: Service,
        stop: collections.abc.Callable[[float], None],
    ):
        self._entry = entry
        self._handle = handle
        self._service = service
        self._stop = stop
        self._task: asyncio.Task | None = None
        self._request: PermitRequest | None = None
        self._permit: PermitAnswer | None = None
        self.inflight: Inflight | None = None

    def report(self, tokens: int, finished: bool) -> None:
        """Note delivered events; the first call adopts the generation.

        One that has finished holds no memory and isn't adopted any more.

        :param tokens: delivered so far, in all
        :param finished: whether the end was delivered with them
        """
        if self._task is None and not finished:
            self._task = asyncio.create_task(self._adopt(tokens))
        elif self.inflight is not None:
            self._entry.permits.report_progress(self.inflight, tokens)

    async def release(self, outcome: PermitOutcome, tokens: int) -> None:
        """Give the permit back, if there is one.

        :param outcome: how the generation ended, as this entry saw it
        :param tokens: of the whole answer so far
        """
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})
        if self._permit is None:
            return
        report = ReleaseReport(
            self._entry.cluster.holder,
            self._request.pool,
            self._request.shard,
            self._permit.permit,
            tokens,
            int(outcome),
        )
        await self._entry.permits.release(report)

    async def _adopt(self, tokens: int) -> None:
        handle = self._handle
        if not handle.target:
            return
        permits = self._entry.permits
        self._request = self._make_request()
        while self._permit is None:
            try:
                self._permit = await permits.adopt(
                    self._request, handle.target, tokens, handle.permit
                )
            except RequestError:
                await asyncio.sleep(RETRY_SECONDS)
        self._entry.metrics.adoptions.inc()
        # refused where this node may take no more work: then it is leaving
        with contextlib.suppress(RequestError):
            with permits.hold(self._request, self._permit) as inflight:
                self.inflight = inflight
                await inflight.stopped.wait()
                self._stop(inflight.retry_after)

    def _make_request(self) -> PermitRequest:
        service, handle = self._service, self._handle
        pool = service.template.pool
        shards = max(1, self._entry.directory.pool_shards(pool))
        return PermitRequest(
            self._entry.permits.name_request(),
            pool,
            find_shard(handle.target, shards),
            service.team,
            service.template_name,
            service.template.model,
            "",
            int(service.urgency),
            handle.prompt_tokens,
            service.max_output_tokens,
            (),
            self._entry.cluster.settings.zone,
            self._entry.cluster.peer_address,
            self._entry.patience.queue,
            (),
        )
