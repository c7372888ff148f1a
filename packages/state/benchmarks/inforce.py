"""Time from a change's submission until it is in force everywhere.

Run ``python packages/state/benchmarks/inforce.py``.  Real processes on
loopback: three instances with disks, two without; one operator, one change
after the other.
"""

import pathlib
import tempfile
import time

import click

from chivepier.standins.cluster import LocalCluster

CHANGES = 60
BOUND_SECONDS = 2.0


def submit(cluster: LocalCluster, number: int, base: int) -> tuple[float, int]:
    """Make one change.

    :param cluster: the running processes
    :param number: names the change
    :param base: version it is based on
    :returns: seconds, and the new version
    """
    edit = {
        "kind": "team",
        "name": "one",
        "base_version": base,
        "spec": {"key_sha256": [], "weight": number + 1},
    }
    body = {"change_id": f"c{number}", "operator": "op", "edits": [edit]}
    begin = time.perf_counter()
    address = cluster.http[cluster.names[-1]]
    status, answer = cluster.call(address, "/v1/operator/changes", body)
    assert status == 200, answer
    return time.perf_counter() - begin, answer["version"]


@click.command()
@click.option("--check", is_flag=True, help="Fail beyond the bound.")
def main(check: bool) -> None:
    """Measure changes."""
    times, base = [], 0
    with tempfile.TemporaryDirectory() as name:
        with LocalCluster(pathlib.Path(name), 3, 2) as cluster:
            cluster.start_all()
            for number in range(CHANGES):
                seconds, base = submit(cluster, number, base)
                times.append(seconds)
    times.sort()
    p50, p99 = times[len(times) // 2], times[-1]
    click.echo(f"in force: p50 {p50 * 1e3:.0f} ms, longest {p99 * 1e3:.0f} ms")
    if check and p99 > BOUND_SECONDS:
        raise SystemExit("a change took longer than its bound")


if __name__ == "__main__":
    main()
