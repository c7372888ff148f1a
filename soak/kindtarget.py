"""A target that answers without end as its callers ask."""

from aiohttp import web

from soak.doubtfultarget import DoubtfulTarget
from soak.endless import ENDLESS
from soak.endless import ENDLESS_STREAMS
from soak.endless import NEEDLESS
from soak.endlesstarget import EndlessTarget

# Header of requests that are answered without end, and how.
KIND_HEADER = "X-Endless"
KINDS = {**ENDLESS, **ENDLESS_STREAMS, **NEEDLESS}


class KindTarget(EndlessTarget):
    """Answers those requests without end that name a kind."""

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        kind = request.headers.get(KIND_HEADER)
        if kind is None:
            return await DoubtfulTarget._serve(self, request)
        return await self._go_on(request, *KINDS[kind])
