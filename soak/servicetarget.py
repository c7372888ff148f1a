"""A target that notes for which service it has run each request."""

from aiohttp import web

from soak.target import SoakTarget


class ServiceTarget(SoakTarget):
    """Notes what it has run.

    :ivar ran: service by the id of each request that was run, shared by all
        targets of a scenario
    """

    ran: dict[str, str]

    async def _run(self, request, identity, *rest) -> web.StreamResponse:
        self.ran[identity] = self.service
        return await super()._run(request, identity, *rest)
