"""What serves callers on one node."""

import aiohttp
import attrs

from chivepier.node.cluster import Cluster
from chivepier.node.commander import Commander
from chivepier.node.directory import Directory
from chivepier.node.metrics import Metrics
from chivepier.node.permits import Permits


@attrs.define(kw_only=True)
class Entry:
    """The parts that request handlers share."""

    cluster: Cluster
    directory: Directory
    permits: Permits
    commander: Commander
    metrics: Metrics
    http: aiohttp.ClientSession
