"""What serves callers on one node."""

import aiohttp
import attrs

from chivepier.node.background import Background
from chivepier.node.cluster import Cluster
from chivepier.node.commander import Commander
from chivepier.node.directory import Directory
from chivepier.node.ledger import Ledger
from chivepier.node.metrics import Metrics
from chivepier.node.patience import Patience
from chivepier.node.permits import Permits
from chivepier.node.retrybudgets import RetryBudgets


@attrs.define(kw_only=True)
class Entry:
    """The parts that request handlers share.

    ``http`` keeps connections for reuse; ``once`` opens one per request: a
    kept connection that its target has just closed leaves it unknown
    whether the request ran, and a request that may run once can't be sent
    again.
    """

    cluster: Cluster
    directory: Directory
    permits: Permits
    commander: Commander
    metrics: Metrics
    http: aiohttp.ClientSession
    once: aiohttp.ClientSession
    ledger: Ledger
    background: Background = attrs.field(factory=Background)
    budgets: RetryBudgets = attrs.field(factory=RetryBudgets)
    patience: Patience = Patience()
