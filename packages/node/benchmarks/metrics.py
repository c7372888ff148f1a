"""Memory of a node's metrics at growing numbers of teams.

Run with ``python packages/node/benchmarks/metrics.py``; allocated bytes, so
that each run gives nearly the same; ``page`` is the size of one answer.
"""

import gc
import tracemalloc

import prometheus_client

from chivepier.node.metrics import Metrics

SIZES = (1, 50, 100, 200, 400, 49_000)
CLASSES = ("batch", "normal", "urgent")


def measure(teams: int) -> tuple[float, int]:
    """Return MiB allocated, and bytes of a page, for so many teams."""
    gc.collect()
    tracemalloc.start()
    metrics = Metrics()
    histograms = (
        metrics.first_token,
        metrics.token_gap,
        metrics.stall,
        metrics.queue_wait,
        metrics.output,
    )
    for number in range(teams):
        label = metrics.label(f"team-{number}")
        for histogram in histograms:
            for urgency in CLASSES:
                histogram.labels(label, urgency).observe(1)
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] / (1 << 20)
    tracemalloc.stop()
    page = len(prometheus_client.generate_latest(metrics.registry))
    return held, page


def main() -> None:
    """Print a row per size."""
    print("teams    MiB  page bytes")
    for teams in SIZES:
        held, page = measure(teams)
        print(f"{teams:>6}{held:>7.2f}{page:>12}")


if __name__ == "__main__":
    main()
