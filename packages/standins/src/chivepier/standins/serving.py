"""Serving a stand-in over HTTP."""

from aiohttp import web

MAX_BODY = 16 << 20


async def start_site(app: web.Application, port: int = 0) -> str:
    """Start an application on loopback.

    :param app: the application
    :param port: 0 for any free one
    :returns: its address as ``ip:port``
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port)
    await site.start()
    actual = runner.addresses[0][1]
    return f"127.0.0.1:{actual}"
