"""What a node knows of the cluster, as metrics."""

import collections.abc

from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import Metric
from prometheus_client.registry import Collector

from chivepier.node.cluster import Cluster
from chivepier.node.owner import Owner
from chivepier.wire import Traffic


class Gauges(Collector):
    """Read when asked for; nothing is counted twice or kept up to date.

    :param traffic: what crossed the peer links
    """

    def __init__(self, cluster: Cluster, owner: Owner, traffic: Traffic):
        self._cluster = cluster
        self._owner = owner
        self._traffic = traffic

    def collect(self) -> collections.abc.Iterator[Metric]:
        """Yield the current values."""
        yield from self._collect_cluster()
        yield from self._collect_targets()
        yield from self._collect_traffic()

    def _collect_cluster(self) -> collections.abc.Iterator[Metric]:
        cluster = self._cluster
        machine = cluster.machine
        values = {
            "ready": ("Whether new work is taken", cluster.ready()),
            "draining": ("Whether it is leaving", cluster.draining),
            "version": ("Configuration version applied", machine.version),
            "in_force": ("Newest version in force", cluster.in_force),
            "epoch": ("Version of the membership", machine.epoch),
            "members": ("Members known", len(machine.members)),
            "documents": ("Documents stored", len(machine.documents)),
        }
        for name, (text, value) in values.items():
            yield GaugeMetricFamily(
                f"chivepier_{name}", text, value=float(value)
            )

    def _collect_targets(self) -> collections.abc.Iterator[Metric]:
        targets = GaugeMetricFamily(
            "chivepier_targets", "Targets owned here", labels=["pool"]
        )
        permits = GaugeMetricFamily(
            "chivepier_permits",
            "Permits counted here as owner",
            labels=["pool"],
        )
        preempted = CounterMetricFamily(
            "chivepier_target_preemptions",
            "Preemptions that targets announced",
            labels=["pool", "target"],
        )
        counts: dict[str, int] = {}
        granted: dict[str, int] = {}
        for (pool, _), shard in self._owner.shards.items():
            counts[pool] = counts.get(pool, 0) + len(shard.targets)
            granted[pool] = granted.get(pool, 0) + len(shard.book)
            for name, announced in shard.targets.items():
                total = float(announced.load.preemptions)
                preempted.add_metric([pool, name], total)
        for pool, count in counts.items():
            targets.add_metric([pool], float(count))
            permits.add_metric([pool], float(granted[pool]))
        yield targets
        yield permits
        yield preempted

    def _collect_traffic(self) -> collections.abc.Iterator[Metric]:
        traffic = self._traffic
        frames = CounterMetricFamily(
            "chivepier_peer_frames", "Frames on peer links", labels=["way"]
        )
        frames.add_metric(["sent"], float(traffic.sent_frames))
        frames.add_metric(["received"], float(traffic.received_frames))
        size = CounterMetricFamily(
            "chivepier_peer_bytes", "Payload on peer links", labels=["way"]
        )
        size.add_metric(["sent"], float(traffic.sent_bytes))
        size.add_metric(["received"], float(traffic.received_bytes))
        yield frames
        yield size
