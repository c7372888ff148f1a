"""Orders to load models and adapters, or to change role."""

import asyncio

import aiohttp
import attrs

from chivepier.types import Clock

ORDERS = (
    "load_model",
    "unload_model",
    "load_adapter",
    "unload_adapter",
    "set_role",
)


@attrs.define
class Seen:
    """An order that was carried out, for tests."""

    fence: int
    order: str
    subject: str
    at: float


class Orders:
    """What is loaded, and by which fencing number it may be changed.

    :param checks: whether an order with an old number is refused
    :param store: the weight store's address, empty for none
    """

    def __init__(
        self, clock: Clock, checks: bool, store: str, models: list[str]
    ):
        self._clock = clock
        self._checks = checks
        self._store = store
        self.models = list(models)
        self.adapters: list[str] = []
        self.role = "serve"
        self.fence = 0
        self.seen: list[Seen] = []
        self._lock = asyncio.Lock()

    async def run(self, order: dict) -> tuple[int, dict]:
        """Carry out an order.

        :param order: as docs/STANDINS.md gives it
        :returns: HTTP status and body
        """
        kind, fence = order.get("order"), order.get("fence")
        if kind not in ORDERS or type(fence) is not int:
            return 400, {"error": {"kind": "bad_order", "ran": "no"}}
        async with self._lock:
            if self._checks and fence < self.fence:
                error = {"kind": "stale_fence", "seen": self.fence}
                return 409, {"error": {**error, "ran": "no"}}
            self.fence = max(self.fence, fence)
            return await self._change(kind, fence, order)

    async def _change(
        self, kind: str, fence: int, order: dict
    ) -> tuple[int, dict]:
        model = f"{order.get('model', '')}@{order.get('version', '')}"
        subject = order.get("adapter") or order.get("role") or model
        match kind:
            case "load_model":
                status = await self._fetch(order)
                if status != 200:
                    return status, {"error": {"kind": "store", "ran": "no"}}
                if model not in self.models:
                    self.models.append(model)
            case "unload_model":
                self.models = [m for m in self.models if m != model]
            case "load_adapter":
                self.adapters.append(order.get("adapter", ""))
            case "unload_adapter":
                self.adapters = [a for a in self.adapters if a != subject]
            case "set_role":
                self.role = order.get("role", self.role)
        at = self._clock.monotonic()
        self.seen.append(Seen(fence, kind, subject, at))
        return 200, {"done": kind}

    async def _fetch(self, order: dict) -> int:
        if not self._store:
            return 200
        path = f"{order.get('model')}/{order.get('version') or 'latest'}"
        url = f"http://{self._store}/weights/{path}"
        async with aiohttp.ClientSession() as http:
            async with http.get(url) as answer:
                await answer.read()
                return answer.status
