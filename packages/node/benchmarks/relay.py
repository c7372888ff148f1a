"""Processor time per relayed token and per request, beside the floor.

``python packages/node/benchmarks/relay.py`` starts one instance, one
stand-in engine and the floor relay as processes, sends both the same load in
turns, and prints the medians.  ``--check`` compares the ratio with a bound.
The figures in microseconds are trials of the machine; the ratios are ours.
"""

import asyncio
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import uuid

import aiohttp
import click
import uvloop

from chivepier.standins.cluster import find_port
from chivepier.standins.cluster import LocalCluster

HERE = pathlib.Path(__file__).parent
EXAMPLE = HERE.parents[2] / "examples" / "fairway.yaml"
TICK = os.sysconf("SC_CLK_TCK")
KEY = "advisers-key"
STREAMS = 32
TOKENS = 500
REQUESTS = 600
TOKEN_BOUND = 1.5


def read_seconds(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICK


async def read_answer(http, url: str, tokens: int) -> int:
    """Read one stream and return its tokens."""
    body = {
        "model": "drafting" if "v1" in url else "",
        "prompt": f"x #length={tokens}#",
        "stream": True,
        "max_tokens": tokens,
    }
    headers = {
        "Authorization": f"Bearer {KEY}",
        "X-Generation-Id": uuid.uuid4().hex,
    }
    if url.startswith("floor "):
        url = url.removeprefix("floor ")
        body["model"] = "plain-english-8b"
    count = 0
    data = json.dumps(body)
    async with http.post(url, data=data, headers=headers) as answer:
        assert answer.status == 200, await answer.text()
        async for part in answer.content.iter_any():
            count += part.count(b"\n\n")
    return count - 1


async def load(url: str, streams: int, tokens: int, rounds: int = 1) -> int:
    """Read streams side by side, and return their tokens."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:

        async def run() -> int:
            return sum(
                [await read_answer(http, url, tokens) for _ in range(rounds)]
            )

        return sum(await asyncio.gather(*(run() for _ in range(streams))))


class Bench:
    """The processes; what each used is read from outside."""

    def __init__(self, cluster: LocalCluster):
        self._cluster = cluster

    def start(self) -> None:
        """Start everything."""
        cluster = self._cluster
        cluster.start_all()
        engine, floor = find_port(), find_port()
        options = ("--pool=drafting", "--model=plain-english-8b")
        options += (f"--port={engine}", "--memory-tokens=10000000")
        cluster.start_standin("engine", "e0", *options)
        command = [sys.executable, str(HERE / "floorrelay.py")]
        command += [f"--engine=127.0.0.1:{engine}", f"--port={floor}"]
        cluster.start("floor", command)
        cluster.run_cli("apply", "-f", str(EXAMPLE))
        path = "/v1/completions"
        self.urls = {
            "floor": f"floor http://127.0.0.1:{floor}{path}",
            "n1": f"http://{cluster.http['n1']}{path}",
        }
        cluster.wait_until(
            lambda: cluster.status("n1").get("targets"), "the engine"
        )

    def measure(self, name: str, idle: float, *size: int) -> float:
        """Return processor seconds, those of idling taken off."""
        pid = self._cluster.processes[name].pid
        before, began = read_seconds(pid), time.monotonic()
        tokens = uvloop.run(load(self.urls[name], *size))
        assert tokens == size[0] * size[1] * (size[2] if size[2:] else 1)
        used = read_seconds(pid) - before
        return used - idle * (time.monotonic() - began)

    def measure_idle(self, name: str, seconds: float = 3.0) -> float:
        """Return the share of a core that a process uses without work."""
        pid = self._cluster.processes[name].pid
        before = read_seconds(pid)
        time.sleep(seconds)
        return (read_seconds(pid) - before) / seconds


@click.command()
@click.option("--rounds", default=3, show_default=True)
@click.option("--check", is_flag=True, help="Compare with the bound.")
def main(rounds: int, check: bool) -> None:
    """Measure and print."""
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(pathlib.Path(folder), 1, 0) as cluster:
            bench = Bench(cluster)
            bench.start()
            idle = {name: bench.measure_idle(name) for name in bench.urls}
            streams, requests = measure_all(bench, idle, rounds)
    tokens = STREAMS * TOKENS
    print(f"idle: {idle['n1']:.1%} of a core (trial)")
    ratio = show("token", streams, tokens)
    show("request of one token", requests, REQUESTS)
    if check and ratio > TOKEN_BOUND:
        raise click.ClickException(f"above {TOKEN_BOUND} floors a token")


def measure_all(bench: Bench, idle: dict, rounds: int):
    """Measure in turns, so that a busy machine disturbs both alike."""
    streams: dict[str, list[float]] = {"floor": [], "n1": []}
    requests: dict[str, list[float]] = {"floor": [], "n1": []}
    for name in streams:
        bench.measure(name, idle[name], 4, 50)
    for _ in range(rounds):
        for name in streams:
            share = idle[name]
            used = bench.measure(name, share, STREAMS, TOKENS)
            streams[name].append(used)
            used = bench.measure(name, share, 4, 1, REQUESTS // 4)
            requests[name].append(used)
    return streams, requests


def show(what: str, used: dict[str, list[float]], count: int) -> float:
    """Print one comparison and return the median ratio."""
    pairs = zip(used["n1"], used["floor"], strict=True)
    ratio = statistics.median(ours / floor for ours, floor in pairs)
    floor = statistics.median(used["floor"]) / count * 1e6
    ours = statistics.median(used["n1"]) / count * 1e6
    print(
        f"{what}: floor {floor:.0f} us, ours {ours:.0f} us (trials),"
        f" ratio {ratio:.2f}"
    )
    return ratio


if __name__ == "__main__":
    main()
