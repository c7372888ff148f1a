"""The interface of callers."""

import collections.abc
import json

from aiohttp import web

from chivepier.messages import ClaimState
from chivepier.messages import Outcome
from chivepier.node.bodies import parse_json
from chivepier.node.bodies import read_body
from chivepier.node.claimed import choose_ending
from chivepier.node.claimed import NOT_KEPT
from chivepier.node.claimed import render_outcome
from chivepier.node.claimed import REPLAYED
from chivepier.node.claimed import run_claimed
from chivepier.node.completion import Completion
from chivepier.node.completion import parse_completion
from chivepier.node.directory import Service
from chivepier.node.entry import Entry
from chivepier.node.generation import Generation
from chivepier.node.handle import open_handle
from chivepier.node.ledger import digest_request
from chivepier.node.ledger import MAX_BODY
from chivepier.node.ledger import read_key
from chivepier.node.ledger import RELEASED
from chivepier.node.ledger import UNKNOWN
from chivepier.node.resumption import Resumption
from chivepier.node.streaming import HEADERS
from chivepier.node.streaming import send_stream
from chivepier.node.whole import join_events
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.types import TargetKind

LAST_EVENT = "Last-Event-ID"
KEY = "Idempotency-Key"
JSON_HEADERS = (("Content-Type", "application/json; charset=utf-8"),)


class Callers:
    """Completions, whole or streamed, and streams that are resumed."""

    def __init__(self, entry: Entry):
        self._entry = entry

    def add_routes(self, app: web.Application) -> None:
        """Register the paths.

        :param app: the node's application
        """
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_get("/v1/generations", self.resume)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/chat/completions``."""
        return await self._complete(request, chat=True)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/completions``."""
        return await self._complete(request, chat=False)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Answer ``GET /v1/generations``: go on with a stream.

        The last event's ``id:`` comes in the header ``Last-Event-ID`` or,
        where a caller can't set one, in the query's ``last_event_id``.
        """
        team = self.admit(request)
        last = request.headers.get(LAST_EVENT)
        return await self._resume(
            request, team, last or request.query.get("last_event_id", "")
        )

    async def _complete(
        self, request: web.Request, chat: bool
    ) -> web.StreamResponse:
        team = self.admit(request)
        last = request.headers.get(LAST_EVENT)
        key = read_key(request.headers.get(KEY))
        data = await read_body(request)
        if last:
            return await self._resume(request, team, last)
        ask = parse_completion(parse_json(data), chat)
        service = self._find_engine(team, ask)
        if key is not None:
            digest = digest_request(request.path, data)
            return await self._complete_once(
                request, service, ask, chat, key, digest
            )
        generation = Generation(self._entry, service, ask)
        if ask.stream:
            events = generation.stream()
            return await send_stream(self._entry, request, events)
        events = await generation.collect()
        return web.json_response(join_events(events, chat))

    def _find_engine(self, team: str, ask: Completion) -> Service:
        service = self._entry.directory.find_service(team, ask.template)
        if service.template.kind is not TargetKind.ENGINE:
            text = f"template {ask.template!r} is a plain service"
            raise RequestError.of(ErrorKind.BAD_REQUEST, text)
        if ask.adapter and ask.adapter not in service.adapters:
            text = f"adapter {ask.adapter!r} is not allowed"
            raise RequestError.of(ErrorKind.FORBIDDEN, text)
        return service

    def admit(self, request: web.Request) -> str:
        """Check that this node may take work, and whose it is.

        :param request: the caller's request
        :returns: the team's name
        :raises RequestError: ``not_ready`` or ``unauthorized``
        """
        if not self._entry.cluster.ready():
            text = "this instance can't confirm its configuration"
            raise RequestError.of(ErrorKind.NOT_READY, text)
        authorization = request.headers.get("Authorization", "")
        return self._entry.directory.find_team(authorization)

    async def _resume(
        self, request: web.Request, team: str, text: str
    ) -> web.StreamResponse:
        secret = self._entry.cluster.machine.secret
        handle, last = open_handle(text, secret, team)
        service = self._entry.directory.find_service(team, handle.template)
        resumption = Resumption(self._entry, handle, last, service)
        return await send_stream(self._entry, request, resumption.stream())

    async def _complete_once(
        self,
        request: web.Request,
        service: Service,
        ask: Completion,
        chat: bool,
        key: str,
        digest: bytes,
    ) -> web.StreamResponse:
        generation = Generation(self._entry, service, ask, once=True)

        async def run() -> Outcome:
            events = await generation.collect()
            plain = json.dumps(join_events(events, chat)).encode()
            return Outcome(ClaimState.DONE, 200, JSON_HEADERS, plain)

        if not ask.stream:
            return await run_claimed(
                self._entry, service.team, key, digest, run
            )
        name = self._entry.permits.name_request()
        ledger = self._entry.ledger
        claimed = await ledger.claim(service.team, key, name, digest)
        if isinstance(claimed, Outcome):
            self._entry.metrics.replays.inc()
            return render_outcome(claimed, REPLAYED)
        events = self._stream_claimed(generation, claimed)
        return await send_stream(self._entry, request, events)

    async def _stream_claimed(
        self, generation: Generation, ticket
    ) -> collections.abc.AsyncGenerator[bytes, None]:
        outcome = None
        kept: list[bytes] = []
        size = 0
        events = generation.stream()
        try:
            async for data in events:
                size += len(data)
                if size <= MAX_BODY:
                    kept.append(data)
                yield data
            if size <= MAX_BODY:
                headers = tuple(HEADERS.items())
                body = b"".join(kept)
                outcome = Outcome(ClaimState.DONE, 200, headers, body)
        except RequestError as error:
            outcome = choose_ending(error.failure)
            raise
        finally:
            await events.aclose()
            if outcome is None:
                # the caller left, or the answer is too large to keep
                outcome = NOT_KEPT if size else UNKNOWN
                if not generation.dispatched:
                    outcome = RELEASED
            settle = self._entry.ledger.settle(ticket, outcome)
            self._entry.background.spawn(settle)
