"""What a node shows of its own state."""

import asyncio

from aiohttp import web
import prometheus_client

from chivepier.node.cluster import Cluster
from chivepier.node.metrics import Metrics


class Health:
    """Answers who watches this node."""

    def __init__(self, cluster: Cluster, metrics: Metrics):
        self._cluster = cluster
        self._metrics = metrics

    def add_routes(self, app: web.Application) -> None:
        """Register the paths.

        :param app: the node's application
        """
        app.router.add_get("/metrics", self.show_metrics)
        app.router.add_get("/healthz", self.show_health)
        app.router.add_get("/readyz", self.show_ready)

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Answer ``GET /metrics`` in the Prometheus text format."""
        # a page takes a tenth of a second to write: in the loop, each scrape
        # would hold up every stream of the node for that long
        data = await asyncio.to_thread(
            prometheus_client.generate_latest, self._metrics.registry
        )
        return web.Response(body=data, content_type="text/plain")

    async def show_health(self, request: web.Request) -> web.Response:
        """Answer ``GET /healthz``: the process runs."""
        return web.Response(text="ok\n")

    async def show_ready(self, request: web.Request) -> web.Response:
        """Answer ``GET /readyz``: 503 while it takes no new work."""
        if self._cluster.ready() and not self._cluster.draining:
            return web.Response(text="ready\n")
        return web.Response(text="not ready\n", status=503)
