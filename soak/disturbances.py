"""Faults of processes while targets crash."""

import asyncio
import shutil
import signal
import time
import typing

from soak.cluster import CALLER_PORT
from soak.cluster import Cluster
from soak.process import Process

# Interval between two checks, in seconds.
POLL_SECONDS = 0.05
# Time for which an entry is paused and another one is down, in seconds.
FAULT_SECONDS = 1.5


class Disturbed(typing.Protocol):
    """What a scenario records of crashes and faults, in monotonic seconds.

    :ivar crashes: times at which targets crashed
    :ivar disturbed: time at which the last faulty process was running again
    :ivar serving: time at which all entries accepted connections again
    """

    crashes: list[float]
    disturbed: float
    serving: float


async def disturb(
    cluster: Cluster, record: Disturbed, start_pause: float = 0.0
) -> None:
    """Once a target has crashed, inject faults into both roles.

    One entry is paused while the others learn of the crashes, one is killed
    and restarts without that knowledge, and one voter loses its data.

    :param cluster: the running processes
    :param record: gets the times
    :param start_pause: seconds for which the restarted entry stands still
        before it accepts connections
    """
    record.serving = float("inf")
    while not record.crashes:
        await asyncio.sleep(0.01)
    frozen, killed, *_ = cluster.entries
    frozen.signal(signal.SIGSTOP)
    voter = cluster.voters[0]
    voter.end()
    shutil.rmtree(cluster.folder / f"data-{voter.name}")
    voter.start()
    killed.end()
    await asyncio.sleep(FAULT_SECONDS)
    killed.start()
    frozen.signal(signal.SIGCONT)
    record.disturbed = time.monotonic()
    if start_pause:
        killed.signal(signal.SIGSTOP)
        await asyncio.sleep(start_pause)
        killed.signal(signal.SIGCONT)
    await wait_until_listening(killed)
    record.serving = time.monotonic()


async def restart_all(cluster: Cluster, record: Disturbed) -> None:
    """Kill all processes at the same moment, and start them again.

    :param cluster: the running processes
    :param record: gets the times
    """
    processes = (*cluster.voters, *cluster.entries)
    for process in processes:
        process.end()
    await asyncio.sleep(FAULT_SECONDS)
    for process in processes:
        process.start()
    record.disturbed = time.monotonic()
    for entry in cluster.entries:
        await wait_until_listening(entry)
    record.serving = time.monotonic()


async def wait_until_listening(entry: Process) -> None:
    """Wait until an entry accepts connections.

    Until then its callers' connections are refused, and nothing runs.
    """
    while True:
        try:
            _, writer = await asyncio.open_connection(entry.ip, CALLER_PORT)
        except OSError:
            await asyncio.sleep(POLL_SECONDS)
        else:
            writer.close()
            return
