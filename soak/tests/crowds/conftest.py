"""One cluster for all tests of crowds: each takes seconds to start."""

import asyncio
import collections.abc
import contextlib
import threading

import pytest

from soak.blocks import reserve_block
from soak.crowdscenario import CrowdScenario
from soak.heavycrowdscenario import HeavyCrowdScenario

TEST_SECONDS = 120


class CrowdRunner:
    """Runs work with a cluster in an event loop that outlives each test.

    :param scenario: the cluster
    """

    def __init__(self, scenario: CrowdScenario):
        self.scenario = scenario
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._stack = contextlib.AsyncExitStack()

    def __enter__(self) -> "CrowdRunner":
        self._thread.start()
        self._run(self._start())
        return self

    def __exit__(self, *exc) -> None:
        self._run(self._stack.aclose())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _start(self) -> None:
        enter = self._stack.enter_async_context
        self.session = await enter(self.scenario.run())

    def _run(self, work: collections.abc.Coroutine):
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    def play(self, test) -> None:
        """Run a test with the cluster, whose processes all live at first."""

        async def work() -> None:
            async with asyncio.timeout(TEST_SECONDS):
                await self.scenario.revive(self.session)
                await test(self.scenario, self.session)

        self._run(work())


def run_scenario(make_scenario, folder):
    """Yield what runs tests with a cluster, which ends after that."""
    with reserve_block() as block:
        with CrowdRunner(make_scenario(folder, block)) as runner:
            yield runner


@pytest.fixture(scope="module")
def crowds(tmp_path_factory):
    """Return what runs tests with the cluster."""
    yield from run_scenario(CrowdScenario, tmp_path_factory.mktemp("crowds"))


@pytest.fixture(scope="module")
def heavy_crowds(tmp_path_factory):
    """Return what runs tests with an entry of a deployment's size."""
    folder = tmp_path_factory.mktemp("heavy")
    yield from run_scenario(HeavyCrowdScenario, folder)
