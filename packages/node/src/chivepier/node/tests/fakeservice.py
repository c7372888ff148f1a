"""A scripted plain service for tests of the request path."""

from aiohttp import web


class FakeService:
    """Counts the calls that ran.

    ``drop`` closes the connection after the call ran; ``refuse`` answers
    that it did not run; ``status`` is what a call is answered with.
    """

    def __init__(self):
        self.runs = []
        self.drop = 0
        self.refuse = False
        self.status = 200
        self.headers = {}

    async def __aenter__(self):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._call)
        self._runner = web.AppRunner(app, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        self.address = "127.0.0.1:%d" % self._runner.addresses[0][1]
        return self

    async def __aexit__(self, *exc):
        await self._runner.cleanup()

    async def stop(self):
        await self._runner.cleanup()

    async def _call(self, request):
        if self.refuse:
            body = {"error": {"kind": "leaving", "ran": "no"}}
            return web.json_response(body, status=503)
        self.runs.append((request.method, request.raw_path))
        if self.drop:
            self.drop -= 1
            request.transport.abort()
            raise ConnectionResetError
        text = f"run {len(self.runs)}"
        return web.Response(
            text=text, status=self.status, headers=self.headers
        )
