"""Tests of targets that announce rate limits, with real processes."""

import asyncio
import time

import pytest

from soak.blocks import reserve_block
from soak.trafficscenario import count_busiest
from soak.trafficscenario import TrafficScenario
from soak.trafficscenario import WINDOW_SECONDS

LIMIT = 1.5
# Seconds after the first announcement of a limit until all entries know it.
PROPAGATION_SECONDS = 3.0
# Seconds for which the requests at targets are counted after that.
COUNTED_SECONDS = 6.0
# Seconds from the grant of a permit to the latest arrival of the request: the
# time in which the permit is usable, and the time to open a connection.
LATENESS_SECONDS = 0.75
# Requests that a target may get within a window: those that its limit allows
# in this time, with delayed ones, and the first one.
MAX_REQUESTS = int(LIMIT * (WINDOW_SECONDS + LATENESS_SECONDS)) + 1


def run_scenario(
    folder, entries: int, limited: int, recovered: bool = False
) -> TrafficScenario:
    """Run traffic to targets that announce a limit.

    :param folder: directory for settings, data and logs
    :param entries: number of entries
    :param limited: number of targets that announce a limit
    :param recovered: whether the limit ends before requests are counted
    """

    async def work(block: int) -> TrafficScenario:
        scenario = TrafficScenario(folder, block, 1, entries)
        async with asyncio.timeout(60), scenario.run():
            await asyncio.sleep(1.0)
            for target in scenario.targets[:limited]:
                target.limit = LIMIT
            await asyncio.sleep(PROPAGATION_SECONDS)
            if recovered:
                for target in scenario.targets:
                    target.limit = None
                await asyncio.sleep(PROPAGATION_SECONDS)
            scenario.counted_from = time.monotonic()
            await asyncio.sleep(COUNTED_SECONDS)
        return scenario

    with reserve_block() as block:
        return asyncio.run(work(block))


@pytest.mark.parametrize("entries", (1, 3))
def test_rate_limit_holds_over_all_entries(entries, tmp_path):
    # Targets with a limit of 1.5 requests per second got 15 and 16 requests
    # within four seconds: seven entries forwarded the limit in the answers to
    # callers without applying it to their own sends.
    scenario = run_scenario(tmp_path, entries, limited=2)
    since = scenario.counted_from
    for target in scenario.targets[:2]:
        assert 0 < count_busiest(target.arrivals, since) <= MAX_REQUESTS
    late = [reply for reply in scenario.replies if reply.at >= since]
    assert {reply.status for reply in late} == {200}


def test_callers_are_rejected_when_all_targets_are_limited(tmp_path):
    # Without rejections, requests wait in a queue that grows beyond the limits
    # of the targets, or are sent to targets above their limits.
    scenario = run_scenario(tmp_path, 3, limited=4)
    since = scenario.counted_from
    for target in scenario.targets:
        assert 0 < count_busiest(target.arrivals, since) <= MAX_REQUESTS
    late = [reply for reply in scenario.replies if reply.at >= since]
    assert {reply.status for reply in late} == {200, 429}
    assert all(r.retry_after > 0 for r in late if r.status == 429)


def test_targets_without_limit_get_full_traffic_again(tmp_path):
    # With few requests sent, few answers show that a limit has ended.
    scenario = run_scenario(tmp_path, 3, limited=4, recovered=True)
    since = scenario.counted_from
    for target in scenario.targets:
        assert count_busiest(target.arrivals, since) > 3 * MAX_REQUESTS
    late = [reply for reply in scenario.replies if reply.at >= since]
    assert {reply.status for reply in late} == {200}
