"""A node's HTTP server and the sessions it calls others with."""

import collections.abc
import contextlib

import aiohttp
from aiohttp import web

from chivepier.node.answers import make_error_middleware
from chivepier.node.inprogress import InProgress
from chivepier.node.keptconnector import KeptConnector
from chivepier.node.metrics import Metrics

MAX_BODY = 8 << 20


def open_session(force_close: bool = False) -> aiohttp.ClientSession:
    """Open a session without a limit of connections.

    :param force_close: whether each request gets a connection of its own
    :returns: a context, which closes it
    """
    connector = KeptConnector(force_close)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


def make_app(
    metrics: Metrics, progress: InProgress, parts: collections.abc.Iterable
) -> web.Application:
    """Build the application.

    :param metrics: counts the errors
    :param progress: counts the requests that run
    :param parts: what has ``add_routes``
    :returns: the application
    """
    app = web.Application(
        middlewares=[make_error_middleware(metrics), progress.track],
        client_max_size=MAX_BODY,
    )
    for part in parts:
        part.add_routes(app)
    return app


@contextlib.asynccontextmanager
async def serve_app(
    app: web.Application, listen: str
) -> collections.abc.AsyncIterator[int]:
    """Serve an application.

    :param app: the application
    :param listen: ``ip:port``; port 0 takes a free one
    :returns: a context with the port; leaving it stops the server
    """
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    try:
        host, _, port = listen.rpartition(":")
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        yield site._server.sockets[0].getsockname()[1]
    finally:
        await runner.cleanup()
