"""An operator that changes a large configuration all the time."""

import asyncio
import collections.abc
import contextlib
import json
import random
import time

import aiohttp

from soak.invariantchecker import InvariantChecker
from soak.run import make_config

# Seconds after the last loss within which changes are acknowledged again, and
# those for one acknowledgement without any.
RECOVER_SECONDS, TOUCH_SECONDS = 12.0, 3.0
# Seconds after which a voter that was lost or replaced counts no longer.
CATCH_UP_SECONDS = 4.0
CALL_SECONDS = 1.5
RETRY_SECONDS = 0.1
# Longest pause between two changes.
MAX_PAUSE_SECONDS = 0.2


def make_large_config(version: int, routes: int) -> dict:
    """Return a configuration with many routes.

    :param version: version of the configuration
    :param routes: how many routes there are beside those that callers use
    """
    config = make_config(version)
    config["routes"] += [
        config["routes"][0]
        | {"name": f"route-{n}", "path-prefix": f"/route-{version}-{n}/"}
        for n in range(routes)
    ]
    return config


class ConfigOperator:
    """Sends configurations one after the other, and checks what is read.

    :param session: keeps its connections open
    :param controls: control addresses of the voters that live
    :param checker: receives violations
    :param rng: random number generator
    :param routes: size of each configuration
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        controls: list[str],
        checker: InvariantChecker,
        rng: random.Random,
        routes: int,
    ):
        self._session = session
        self._controls = controls
        self._checker = checker
        self._rng = rng
        self._routes = routes
        self._timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)
        self.served_since = 0.0
        self.sent = self.acknowledged = 0
        self.ack_seconds: list[float] = []

    async def change_repeatedly(self) -> None:
        """Send changes until cancelled."""
        while True:
            await self.change()
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    @contextlib.contextmanager
    def expect_no_service(self) -> collections.abc.Iterator[None]:
        """Wait for no acknowledgement while more is lost than is borne."""
        self.served_since = float("inf")
        try:
            yield
        finally:
            self.served_since = time.monotonic()

    async def change(self) -> None:
        """Send one change until a voter acknowledges it."""
        self.sent += 1
        version = self.sent
        body = json.dumps(make_large_config(version, self._routes)).encode()
        began, is_late = time.monotonic(), False
        while not await self._put(version, body):
            waited = time.monotonic() - max(began, self.served_since)
            if waited > RECOVER_SECONDS + TOUCH_SECONDS and not is_late:
                is_late = True
                text = f"version {version} not acknowledged in {waited:.1f} s"
                self._checker.violations.append(text)
            await asyncio.sleep(RETRY_SECONDS)
        self.acknowledged = version
        self.ack_seconds.append(time.monotonic() - began)

    async def _put(self, version: int, body: bytes) -> bool:
        url = self._make_url()
        try:
            async with self._session.put(
                url, data=body, timeout=self._timeout
            ) as answer:
                if answer.status not in (200, 503):
                    text = f"version {version}: {answer.status}"
                    self._checker.violations.append(text)
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def _make_url(self) -> str:
        return f"http://{self._rng.choice(self._controls)}/chivepier/config"

    async def read_repeatedly(self) -> None:
        """Read from any voter until cancelled; nothing may be older."""
        while True:
            await self.read()
            await asyncio.sleep(self._rng.uniform(0.0, 4 * RETRY_SECONDS))

    async def read(self) -> int | None:
        """Read the configuration once; return its version, if any came."""
        floor, url = self.acknowledged, self._make_url()
        try:
            async with self._session.get(url, timeout=self._timeout) as answer:
                if answer.status != 200:
                    return None
                version = json.loads(await answer.read())["version"]
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        if version < floor:
            text = f"version {version} was read after {floor} was acknowledged"
            self._checker.violations.append(text)
        return version

    async def check_recovery(self) -> None:
        """Check that what was acknowledged is read again in time."""
        end = time.monotonic() + RECOVER_SECONDS + TOUCH_SECONDS
        while await self.read() is None:
            if time.monotonic() > end:
                text = f"no configuration is read; {self.acknowledged} was"
                self._checker.violations.append(f"{text} acknowledged")
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def check_acknowledged(self) -> None:
        """Check that a change is acknowledged in time from now on."""
        end = time.monotonic() + RECOVER_SECONDS + TOUCH_SECONDS
        done = len(self.ack_seconds)
        while len(self.ack_seconds) == done:
            if time.monotonic() > end:
                text = f"nothing is acknowledged after {self.acknowledged}"
                self._checker.violations.append(text)
                return
            await asyncio.sleep(RETRY_SECONDS)
