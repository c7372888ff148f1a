"""Clients outside the limits at an entry of a deployment's smallest size."""

import asyncio
import collections.abc
import json
import pathlib
import random

import aiohttp

from soak.crowdscenario import ATTEMPTS
from soak.crowdscenario import CrowdScenario
from soak.crowdscenario import LIMITS
from soak.crowdscenario import RETRY_SECONDS
from soak.invariantchecker import InvariantChecker
from soak.largetarget import LargeTarget
from soak.process import Process
from soak.run import make_config

CONTROL_PORT = 8748


class HeavyCrowdScenario(CrowdScenario):
    """Has what each client costs bounded by memory, not by descriptors."""

    clients = 300
    # of the smallest entries and voters
    memory_mb = 128
    max_descriptors = 4_100
    voter_memory_mb = 256
    _version = 1
    limits = {
        name: LIMITS[name] for name in LIMITS if name != "max-body-bytes"
    }

    def __init__(self, folder: pathlib.Path, block: int, seed: int = 1):
        super().__init__(folder, block, seed)
        for voter in self.voters:
            voter.memory_mb = self.voter_memory_mb

    def _make_target(
        self, address: str, controls: list[str], rng: random.Random
    ) -> LargeTarget:
        return LargeTarget(address, address, controls, InvariantChecker(), rng)

    async def tell_voter(
        self, session: aiohttp.ClientSession, voter: Process
    ) -> tuple[int, int]:
        """Announce the target, and write a configuration, as others do.

        :returns: the statuses of the last answers, each after some attempts
        """
        (target,) = self.targets
        control = f"{voter.ip}:{CONTROL_PORT}"
        return (
            await _attempt(lambda: target.announce_to(session, control)),
            await _attempt(lambda: self._write_config(session, control)),
        )

    async def _write_config(
        self, session: aiohttp.ClientSession, control: str
    ) -> int:
        self._version += 1
        config = make_config(self._version) | {"limits": self.limits}
        url = f"http://{control}/chivepier/config"
        try:
            async with session.put(url, data=json.dumps(config)) as answer:
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0


async def _attempt(send: collections.abc.Callable) -> int:
    for _ in range(ATTEMPTS):
        status = await send()
        if status == 200:
            break
        await asyncio.sleep(RETRY_SECONDS)
    return status
