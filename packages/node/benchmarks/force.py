"""How long a change takes to be in force, and a shard to be taken over.

Run with ``python packages/node/benchmarks/force.py``: real processes on
loopback.  A change is answered when it is in force everywhere, so its
latency is that time.  Takeover is counted from the kill of the owner to the
first answer served through another instance.  Times are trials, bound to
the machine; the bounds hold by the lengths of the leases.
"""

import http.client
import json
import pathlib
import statistics
import tempfile
import time

from chivepier.membership import find_owner
from chivepier.membership import LeaseTerms
from chivepier.messages import Member
from chivepier.standins.cluster import KEYS
from chivepier.standins.cluster import LocalCluster

CHANGES = 100
KILLS = 5
SIZES = ((3, 1), (3, 3), (3, 5))
POOL = "drafting"
EXAMPLE = "examples/fairway.yaml"
REQUEST = {
    "model": "drafting",
    "prompt": "Explain this agreement. #length=2#",
    "max_tokens": 2,
}


def measure_changes(cluster: LocalCluster, name: str) -> list[float]:
    """Submit changes one after the other; return each one's seconds."""
    connection = http.client.HTTPConnection(cluster.http[name], timeout=30)
    headers = {
        "Authorization": f"Bearer {KEYS['CHIVEPIER_OPERATOR_KEY']}",
        "Content-Type": "application/json",
    }
    spec = {"pool": POOL, "model": "plain-english-8b"}
    taken, version = [], 0
    for number in range(CHANGES):
        edit = {
            "kind": "template",
            "name": "measured",
            "base_version": version,
            "spec": {**spec, "max_output_tokens": number + 1},
        }
        body = {"change_id": f"c{number}", "edits": [edit]}
        start = time.monotonic()
        connection.request(
            "POST", "/v1/operator/changes", json.dumps(body), headers
        )
        answer = json.loads(connection.getresponse().read())
        taken.append(time.monotonic() - start)
        version = answer["versions"][0]
    return taken


def find_name(cluster: LocalCluster, through: str) -> str:
    """Return the name of the instance that owns the pool's shard."""
    members = [Member(**m) for m in cluster.status(through)["members"]]
    return find_owner(POOL, 0, members).name


def serves(cluster: LocalCluster, name: str) -> bool:
    """Tell whether an instance serves a short request now."""
    status, _ = cluster.call(
        cluster.http[name], "/v1/completions", REQUEST, "advisers-key"
    )
    return status == 200


def measure_takeovers(cluster: LocalCluster) -> list[float]:
    """Kill the owner again and again; return the seconds without service."""
    cluster.start_standin(
        "engine", "e0", f"--pool={POOL}", "--model=plain-english-8b"
    )
    cluster.run_cli("apply", "-f", EXAMPLE)
    taken = []
    for _ in range(KILLS):
        owner = find_name(cluster, cluster.names[0])
        through = next(n for n in cluster.names if n != owner)
        cluster.wait_until(lambda: serves(cluster, through), "service")
        start = time.monotonic()
        process = cluster.processes[owner]
        process.kill()
        process.wait()
        cluster.wait_until(lambda: serves(cluster, through), "takeover")
        taken.append(time.monotonic() - start)
        cluster.start_node(owner)
        cluster.wait_until(
            lambda: cluster.is_up(owner, "/readyz"), f"{owner} ready"
        )
    return taken


def main() -> None:
    """Print a row for each size of the cluster."""
    terms = LeaseTerms()
    bound = terms.expiry + terms.outlast
    print("instances  change p50 ms  p99 ms  takeover median s  most s")
    for disks, others in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            with LocalCluster(pathlib.Path(folder), disks, others) as cluster:
                cluster.start_all()
                changes = measure_changes(cluster, cluster.names[-1])
                takeovers = measure_takeovers(cluster)
        cuts = statistics.quantiles(changes, n=100)
        print(
            f"{disks + others:9}  {cuts[49] * 1e3:13.1f}"
            f"  {cuts[98] * 1e3:6.1f}"
            f"  {statistics.median(takeovers):17.2f}"
            f"  {max(takeovers):6.2f}"
        )
    print(f"expiry and lease together: {bound:.1f} s")


if __name__ == "__main__":
    main()
