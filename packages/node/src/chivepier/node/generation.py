"""Relaying one generation from its engine."""

import asyncio
import collections.abc
import json
import uuid

import aiohttp

from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.node.completion import Completion
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.node.handle import Handle
from chivepier.node.ssebuffer import SseBuffer
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

GENERATION_HEADER = "x-generation-id"
PATIENCE_SECONDS = 30.0
CONNECT_SECONDS = 2.0
STALL_SECONDS = 30.0
CHUNK = 1 << 16


class Generation:
    """One answer from one generation, under one permit."""

    def __init__(self, entry: Entry, service: Service, ask: Completion):
        self._entry = entry
        self._service = service
        self._ask = ask
        self.generation = uuid.uuid4().hex
        self._buffer: SseBuffer | None = None

    @property
    def tokens(self) -> int:
        """Tokens delivered so far."""
        return self._buffer.following if self._buffer else 0

    def _limit(self) -> int:
        limit = self._service.max_output_tokens
        if self._ask.max_tokens is None:
            return limit
        return min(limit, self._ask.max_tokens)

    async def stream(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield whole events as they arrive.

        :raises RequestError: when the answer can't be completed
        """
        request = self._permit_request()
        permit = await self._entry.permits.acquire(request)
        outcome = PermitOutcome.CANCELLED
        try:
            async for data in self._relay(permit):
                yield data
            outcome = PermitOutcome.FINISHED
        except RequestError:
            outcome = PermitOutcome.TARGET_FAILED
            raise
        finally:
            report = ReleaseReport(
                self._entry.cluster.peer_address,
                request.pool,
                request.shard,
                permit.permit,
                self.tokens,
                int(outcome),
            )
            await asyncio.shield(self._entry.permits.release(report))

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
            PATIENCE_SECONDS,
            (),
        )

    async def _relay(
        self, permit: PermitAnswer
    ) -> collections.abc.AsyncIterator[bytes]:
        handle = Handle(
            permit.address,
            self.generation,
            self._service.team,
            self._service.template_name,
        )
        sealed = handle.seal(self._entry.cluster.machine.secret)
        self._buffer = SseBuffer(
            f"{sealed}.".encode(), self.generation.encode()
        )
        async with self._open(permit) as answer:
            await self._check_answer(answer)
            async for data in answer.content.iter_any():
                events = self._buffer.feed(data)
                if events:
                    yield events
                if self._buffer.finished:
                    return
        text = "the engine ended the stream early"
        raise RequestError.of(ErrorKind.GENERATION_LOST, text, Ran.YES)

    def _open(self, permit: PermitAnswer):
        ask = self._ask
        path = "chat/completions" if "messages" in ask.body else "completions"
        body = dict(ask.body)
        body["model"] = self._service.template.model
        body["stream"] = True
        body["max_tokens"] = self._limit()
        body["priority"] = int(self._service.urgency)
        body["cache_salt"] = self._service.team
        if ask.adapter:
            body["adapter"] = ask.adapter
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_SECONDS, sock_read=STALL_SECONDS
        )
        return self._entry.http.post(
            f"http://{permit.address}/v1/{path}",
            data=json.dumps(body).encode(),
            headers={
                "Content-Type": "application/json",
                GENERATION_HEADER: self.generation,
            },
            timeout=timeout,
        )

    async def _check_answer(self, answer: aiohttp.ClientResponse) -> None:
        if answer.status != 200:
            text = f"the engine answered {answer.status}"
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
        if answer.headers.get(GENERATION_HEADER) != self.generation:
            text = "the engine answered another request"
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.UNKNOWN)
