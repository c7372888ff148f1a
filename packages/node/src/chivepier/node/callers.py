"""The interface of callers."""

import json

import aiohttp
from aiohttp import web

from chivepier.node.answers import answer_failure
from chivepier.node.completion import parse_completion
from chivepier.node.entry import Entry
from chivepier.node.generation import Generation
from chivepier.node.whole import join_events
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import render_failure
from chivepier.types import RequestError


class Callers:
    """Completions, whole or streamed."""

    def __init__(self, entry: Entry):
        self._entry = entry

    def add_routes(self, app: web.Application) -> None:
        """Register the paths.

        :param app: the node's application
        """
        app.router.add_post("/v1/chat/completions", self.chat)
        app.router.add_post("/v1/completions", self.complete)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/chat/completions``."""
        return await self._complete(request, chat=True)

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Answer ``POST /v1/completions``."""
        return await self._complete(request, chat=False)

    async def _complete(
        self, request: web.Request, chat: bool
    ) -> web.StreamResponse:
        team = self.admit(request)
        ask = parse_completion(await read_json(request), chat)
        service = self._entry.directory.find_service(team, ask.template)
        if ask.adapter and ask.adapter not in service.adapters:
            text = f"adapter {ask.adapter!r} is not allowed"
            raise RequestError.of(ErrorKind.FORBIDDEN, text)
        generation = Generation(self._entry, service, ask)
        if ask.stream:
            return await self._stream(request, generation)
        events = [data async for data in generation.stream()]
        return web.json_response(join_events(b"".join(events), chat))

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

    async def _stream(
        self, request: web.Request, generation: Generation
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
            }
        )
        events = generation.stream()
        try:
            async for data in events:
                if not response.prepared:
                    await response.prepare(request)
                await response.write(data)
        except RequestError as error:
            if not response.prepared:
                return answer_failure(error.failure)
            await response.write(render_last_event(error.failure))
        finally:
            await events.aclose()
        return response


async def read_json(request: web.Request) -> object:
    """Read a bounded JSON body.

    :param request: the caller's request
    :returns: the parsed body
    :raises RequestError: ``too_large`` or ``bad_request``
    """
    try:
        return json.loads(await request.read())
    except web.HTTPRequestEntityTooLarge:
        text = "the body is too large"
        raise RequestError.of(ErrorKind.TOO_LARGE, text) from None
    except (ValueError, RecursionError, aiohttp.ClientError):
        text = "the body is not JSON"
        raise RequestError.of(ErrorKind.BAD_REQUEST, text) from None


def render_last_event(failure: Failure) -> bytes:
    """Build the event that ends a stream which can't be completed.

    :param failure: what happened
    :returns: one event; the stream has no ``[DONE]``
    """
    body = render_failure(failure)
    body["error"]["ran"] = Ran.YES.value
    return b"event: error\ndata: " + json.dumps(body).encode() + b"\n\n"
