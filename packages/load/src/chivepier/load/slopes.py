"""Slopes of cost on real processes: ``python -m chivepier.load.slopes``.

Each experiment runs at four or more sizes and prints, per role, processor
time and bytes on peer links.  Figures are trials, bound to the machine; the
least-squares slope is what docs/CAPACITY.md extrapolates from.
"""

import asyncio
import collections.abc
import pathlib
import statistics
import tempfile
import time
import urllib.request

import aiohttp
import attrs
import click
import psutil

from chivepier.load.plan import plan_arrivals
from chivepier.load.run import run_plan
from chivepier.load.teamload import TeamLoad
from chivepier.standins.cluster import KEYS
from chivepier.standins.cluster import LocalCluster
from chivepier.types import SystemClock

SECONDS = 6.0
EXAMPLE = "examples/fairway.yaml"
TINY = {"team": "advisers", "key": "advisers-key", "template": "drafting"}


@attrs.frozen
class Cost:
    """What one process spent: seconds of processor, bytes, resident MB."""

    cpu: float
    sent: float
    resident: float


def read_cost(cluster: LocalCluster, name: str) -> Cost:
    """Read a node's counters.

    :param cluster: running
    :param name: the instance
    :returns: totals since its start
    """
    process = psutil.Process(cluster.processes[name].pid)
    times = process.cpu_times()
    url = f"http://{cluster.http[name]}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    start = 'chivepier_peer_bytes_total{way="sent"}'
    sent = [float(s.split()[-1]) for s in lines if s.startswith(start)]
    resident = process.memory_info().rss / (1 << 20)
    return Cost(times.user + times.system, sent[0], resident)


def measure(
    cluster: LocalCluster, work: collections.abc.Callable[[], int]
) -> tuple[int, dict[str, Cost]]:
    """Run work and read what each node spent on it.

    :param cluster: running
    :param work: does the work and returns how many units it was
    :returns: units, and the cost of each node
    """
    before = {n: read_cost(cluster, n) for n in cluster.names}
    units = work()
    costs = {}
    for name in cluster.names:
        after = read_cost(cluster, name)
        costs[name] = Cost(
            after.cpu - before[name].cpu,
            after.sent - before[name].sent,
            after.resident,
        )
    return units, costs


def fit_slope(sizes: list[float], values: list[float]) -> tuple[float, float]:
    """Fit a line by least squares.

    >>> fit_slope([1, 2, 3, 4], [3, 5, 7, 9])
    (2.0, 1.0)

    :param sizes: x values
    :param values: y values
    :returns: slope and intercept
    """
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def print_slope(name: str, unit: str, sizes: list, values: list) -> None:
    """Print a slope with the points it was fitted to."""
    slope, base = fit_slope(sizes, values)
    points = " ".join(f"{s}:{v:.4g}" for s, v in zip(sizes, values))
    click.echo(f"{name}: {slope:.4g} {unit}, base {base:.4g}  [{points}]")


def wait(seconds: float) -> int:
    """Let a cluster idle."""
    time.sleep(seconds)
    return 1


def run_members(folder: pathlib.Path) -> None:
    """Idle clusters: what leases, heartbeats and freshness cost."""
    sizes = [4, 6, 8, 12, 16]
    rows: dict[str, list[float]] = {"cpu": [], "sent": [], "leader": []}
    for size in sizes:
        with LocalCluster(folder / f"m{size}", 3, size - 3) as cluster:
            cluster.start_all()
            _, costs = measure(cluster, lambda: wait(SECONDS))
        others = [costs[n] for n in cluster.names if n not in cluster.disks]
        voters = [costs[n] for n in cluster.disks]
        rows["cpu"].append(1000 * statistics.mean(c.cpu for c in others))
        rows["sent"].append(statistics.mean(c.sent for c in others))
        rows["leader"].append(1000 * max(c.cpu for c in voters))
        resident = statistics.mean(c.resident for c in others)
        click.echo(f"  {size} members: resident {resident:.1f} MB a node")
    per = [[v / SECONDS for v in rows[k]] for k in rows]
    print_slope("idle node, CPU", "ms/s a member", sizes, per[0])
    print_slope("idle node, sent", "B/s a member", sizes, per[1])
    print_slope("leading voter, CPU", "ms/s a member", sizes, per[2])


async def announce_many(entries: list[str], count: int) -> int:
    """Announce many made-up targets, each once a second."""
    sent = 0
    headers = {"Authorization": f"Bearer {KEYS['CHIVEPIER_DEPLOYMENT_KEY']}"}
    async with aiohttp.ClientSession(headers=headers) as http:
        for second in range(int(SECONDS)):
            started = time.monotonic()
            for number in range(count):
                body = make_announcement(number, second)
                url = f"http://{entries[number % len(entries)]}/v1/targets"
                async with http.post(url, json=body) as answer:
                    await answer.read()
                sent += 1
            left = started + 1 - time.monotonic()
            await asyncio.sleep(max(0.0, left))
    return sent


def make_announcement(number: int, sequence: int) -> dict:
    """Return an announcement of a made-up target with 64 cache events."""
    load = {"running": 3, "waiting": 0, "used_tokens": 9, "preemptions": 0}
    return {
        "target": f"made-up-{number}",
        "incarnation": 1,
        "sequence": sequence,
        "kind": "engine",
        "pool": "drafting",
        "address": "127.0.0.1:9",
        "zone": "a",
        "models": ["none@1"],
        "adapters": [],
        "role": "serve",
        "checks_fence": True,
        "capacity_tokens": 100000,
        "max_streams": 64,
        "load": load,
        "cached": [(number << 32) + i for i in range(64)],
        "leaving": False,
    }


def run_announcements(cluster: LocalCluster) -> None:
    """Targets that announce themselves: entry, link and owner together."""
    sizes = [10, 40, 80, 160]
    cpu, sent = [], []
    entries = list(cluster.http.values())
    for size in sizes:
        _, costs = measure(
            cluster, lambda: asyncio.run(announce_many(entries, size))
        )
        cpu.append(1000 * sum(c.cpu for c in costs.values()) / SECONDS)
        sent.append(sum(c.sent for c in costs.values()) / SECONDS)
    print_slope("announcements, CPU, all nodes", "ms a target", sizes, cpu)
    print_slope("announcements, sent", "B a target", sizes, sent)


async def look_up(entries: list[str], rate: int) -> int:
    """Ask for addresses at a rate."""
    count = int(rate * SECONDS)
    async with aiohttp.ClientSession() as http:
        started = time.monotonic()
        for number in range(count):
            due = started + number / rate
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            url = f"http://{entries[number % len(entries)]}/v1/addresses"
            async with http.get(url) as answer:
                await answer.read()
    return count


def run_lookups(cluster: LocalCluster) -> None:
    """Callers that ask for addresses."""
    sizes = [50, 100, 200, 400]
    cpu = []
    entries = list(cluster.http.values())
    for size in sizes:
        _, costs = measure(
            cluster, lambda: asyncio.run(look_up(entries, size))
        )
        cpu.append(1000 * sum(c.cpu for c in costs.values()) / SECONDS)
    print_slope("look-ups, CPU, all nodes", "ms a look-up", sizes, cpu)


def make_load(rate: float, tokens: int) -> list[TeamLoad]:
    """Return a steady load of answers of one length."""
    load = TeamLoad(
        **TINY, rate=rate, median=tokens, sigma=0.0, prompt_chars=300
    )
    return [load]


def run_requests(cluster: LocalCluster, tokens: int, rates: list) -> list:
    """Requests of one length at growing rates.

    :returns: CPU milliseconds a second, of all nodes, per rate
    """
    cpu, sent = [], []
    entries = tuple(cluster.http.values())
    for rate in rates:
        arrivals = plan_arrivals(make_load(rate, tokens), SECONDS, 3)

        def work(arrivals=arrivals) -> int:
            plan = run_plan(SystemClock(), arrivals, entries)
            report = asyncio.run(plan)
            assert not report.problems, report.problems[:3]
            return len(arrivals)

        _, costs = measure(cluster, work)
        cpu.append(1000 * sum(c.cpu for c in costs.values()) / SECONDS)
        sent.append(sum(c.sent for c in costs.values()) / SECONDS)
    name = f"requests of {tokens} tokens"
    print_slope(f"{name}, CPU, all nodes", "ms a request", rates, cpu)
    print_slope(f"{name}, sent on peer links", "B a request", rates, sent)
    return cpu


@click.command()
def main() -> None:
    """Run all experiments; about two minutes."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        run_members(root)
        with LocalCluster(root / "work", 3, 1) as cluster:
            cluster.start_all()
            cluster.run_cli("apply", "-f", EXAMPLE)
            run_lookups(cluster)
            run_announcements(cluster)
            for number in range(3):
                options = ("--pool=drafting", "--model=plain-english-8b@1")
                cluster.start_standin("engine", f"e{number}", *options)
            cluster.wait_until(
                lambda: cluster.run_cli("status").stdout.count("e2") > 0,
                "engines",
            )
            rates = [10, 20, 40, 80]
            one = run_requests(cluster, 1, rates)
            many = run_requests(cluster, 101, rates)
    per_token = [(m - o) / (100 * r) for m, o, r in zip(many, one, rates)]
    points = " ".join(f"{1000 * p:.1f}" for p in per_token)
    click.echo(f"CPU of a relayed token, us, by rate: {points}")


if __name__ == "__main__":
    main()
