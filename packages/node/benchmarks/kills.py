"""Promises under random kills of real processes.

``python packages/node/benchmarks/kills.py --rounds 20 --seed 1`` starts five
instances, three engines and a plain service, keeps callers busy, and in each
round kills an instance or an engine with SIGKILL and starts it again.  It
counts broken promises (bound: none) and how many callers were told that
something is lost or unknown.  The kills are drawn from the seed; when each
meets which request is up to the machine.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import random
import tempfile

import aiohttp
import click
import uvloop

from chivepier.standins.cluster import find_port
from chivepier.standins.cluster import LocalCluster

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "fairway.yaml"
HEADERS = {"Authorization": "Bearer advisers-key"}
ENGINES = ("e0", "e1", "e2")
STREAMERS = 12
WRITERS = 8
TOKENS = 150
ATTEMPTS = 60
PAUSE_SECONDS = 0.15
ROUND_SECONDS = 2.0
DOWN_SECONDS = 0.7
TIMEOUT = aiohttp.ClientTimeout(total=60, sock_connect=2)
BROKEN = (aiohttp.ClientError, TimeoutError, OSError)


class Site:
    """The processes."""

    def __init__(self, cluster: LocalCluster):
        self.cluster = cluster
        self.ports = {name: find_port() for name in (*ENGINES, "s0")}

    def start(self) -> None:
        """Start and configure everything."""
        self.cluster.start_all()
        for name in ENGINES:
            self.start_engine(name)
        options = ("--pool=web-app", f"--port={self.ports['s0']}")
        self.cluster.start_standin("service", "s0", *options)
        self.cluster.run_cli("apply", "-f", str(EXAMPLE))
        self.cluster.wait_until(
            lambda: len(self.cluster.status("n1").get("targets", ())) == 4,
            "all targets",
        )

    def start_engine(self, name: str) -> None:
        """Start an engine at its port."""
        options = ("--pool=drafting", "--model=plain-english-8b")
        port = f"--port={self.ports[name]}"
        self.cluster.start_standin("engine", name, *options, port)

    async def kill(self, name: str) -> None:
        """Kill a process and start it again."""
        process = self.cluster.processes[name]
        process.kill()
        process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        if name in ENGINES:
            self.start_engine(name)
        else:
            self.cluster.start_node(name)


class Callers:
    """Callers that check what they get."""

    def __init__(self, site: Site, http: aiohttp.ClientSession, seed: int):
        self._addresses = list(site.cluster.http.values())
        self._http = http
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self.counts: collections.Counter = collections.Counter()
        self.broken: list[str] = []
        self.endings: dict[str, str] = {}
        self.stopping = False

    def _url(self, path: str) -> str:
        return f"http://{self._rng.choice(self._addresses)}{path}"

    async def stream(self) -> None:
        """Stream answers, and go on elsewhere when a link breaks."""
        while not self.stopping:
            await self._stream_one(next(self._numbers))

    async def _stream_one(self, number: int) -> None:
        body = {
            "model": "drafting",
            "prompt": f"{number} #length={TOKENS}#",
            "stream": True,
        }
        seen = Seen()
        for _ in range(ATTEMPTS):
            headers = dict(HEADERS)
            if seen.last:
                headers["Last-Event-ID"] = seen.last
            try:
                async with self._http.post(
                    self._url("/v1/completions"), json=body, headers=headers
                ) as answer:
                    if answer.status == 200:
                        async for line in answer.content:
                            seen.read(line.decode().strip())
                    else:
                        seen.error = (await answer.json())["error"]
            except BROKEN:
                self.counts["links broken"] += 1
            if seen.done or self._is_final(seen):
                break
            seen.error = None
            await asyncio.sleep(PAUSE_SECONDS)
        self._judge(number, seen)

    def _is_final(self, seen: "Seen") -> bool:
        error = seen.error
        return error is not None and error["kind"] in (
            "generation_lost",
            "stopped_early",
        )

    def _judge(self, number: int, seen: "Seen") -> None:
        if seen.indexes != list(range(len(seen.indexes))):
            self.broken.append(f"stream {number}: {seen.indexes}")
        if len(seen.generations) > 1:
            self.broken.append(f"stream {number}: {seen.generations}")
        if seen.done and len(seen.indexes) != TOKENS:
            self.broken.append(f"stream {number}: {len(seen.indexes)} tokens")
        how = "whole" if seen.done else "lost"
        self.counts[f"streams {how}"] += 1

    async def write(self) -> None:
        """Write records under keys, each sent until its end is known."""
        while not self.stopping:
            await self._write_one(f"w{next(self._numbers)}")

    async def _write_one(self, key: str) -> None:
        headers = {**HEADERS, "Idempotency-Key": key}
        path = f"/v1/services/case-records/records/{key}"
        timid = self._rng.random() < 0.3
        maybe = False
        for _ in range(ATTEMPTS):
            try:
                async with self._http.post(
                    self._url(path), data=b"{}", headers=headers
                ) as answer:
                    plain = json.loads(await answer.read())
                    if answer.status == 200:
                        self.endings[key] = "written"
                        return
            except BROKEN:
                maybe = True
                plain = {"error": {"kind": "broken", "ran": "unknown"}}
            error = plain["error"]
            if error["kind"] == "outcome_unknown":
                self.endings[key] = "unknown"
                return
            maybe = maybe or error["ran"] != "no"
            if timid and not maybe:
                self.endings[key] = "not run"
                return
            await asyncio.sleep(PAUSE_SECONDS)
        self.endings[key] = f"given up: {error['kind']}"

    def check_runs(self, runs: dict[str, int]) -> None:
        """Compare what callers were told with what the service ran."""
        expected = {"written": (1, 1), "not run": (0, 0)}
        for key, ending in self.endings.items():
            self.counts[f"writes {ending}"] += 1
            least, most = expected.get(ending, (0, 1))
            if not least <= runs.get(key, 0) <= most:
                text = f"key {key}: {ending}, ran {runs.get(key, 0)} times"
                self.broken.append(text)


class Seen:
    """What one caller has of its stream."""

    def __init__(self):
        self.last = ""
        self.indexes: list[int] = []
        self.generations: set[str] = set()
        self.done = False
        self.error: dict | None = None

    def read(self, line: str) -> None:
        """Take a line."""
        if line == "data: [DONE]":
            self.done = True
        elif line.startswith("id: "):
            self.last = line[4:]
            self.indexes.append(int(line.rpartition(".")[2]))
        elif line.startswith('data: {"error"'):
            self.error = json.loads(line[6:])["error"]
        elif line.startswith("data: "):
            self.generations.add(json.loads(line[6:])["id"])


async def play(site: Site, rounds: int, seed: int) -> Callers:
    """Kill and check."""
    rng = random.Random(seed)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, timeout=TIMEOUT
    ) as http:
        callers = Callers(site, http, seed)
        tasks = [
            asyncio.create_task(work())
            for work in [callers.stream] * STREAMERS
            + [callers.write] * WRITERS
        ]
        for _ in range(rounds):
            await asyncio.sleep(ROUND_SECONDS * (0.5 + rng.random()))
            name = rng.choice([*site.cluster.names, *ENGINES])
            callers.counts["kills"] += 1
            await site.kill(name)
        callers.stopping = True
        await asyncio.gather(*tasks)
        url = f"http://127.0.0.1:{site.ports['s0']}/-/runs"
        async with http.get(url) as answer:
            callers.check_runs(await answer.json())
    return callers


@click.command()
@click.option("--rounds", default=20, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(rounds: int, seed: int) -> None:
    """Play the rounds and print what came of them."""
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(pathlib.Path(folder), 3, 2) as cluster:
            site = Site(cluster)
            site.start()
            callers = uvloop.run(play(site, rounds, seed))
    for name, count in sorted(callers.counts.items()):
        print(f"{name}: {count}")
    for text in callers.broken:
        print(f"broken: {text}")
    print(f"broken promises: {len(callers.broken)}")
    if callers.broken:
        raise SystemExit(1)


if __name__ == "__main__":
    main()
