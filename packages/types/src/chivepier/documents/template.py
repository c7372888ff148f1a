"""Serving templates."""

import attrs

from chivepier.documents.routerule import RouteRule
from chivepier.types.targetkind import TargetKind
from chivepier.types.urgency import Urgency


@attrs.frozen(kw_only=True)
class Template:
    """What is served and by which pool; teams refer to it by name.

    ``pool`` names the group of targets; ``model`` and ``model_version`` are
    the intended state of its engines; ``min_targets`` is the number that
    keeps serving while versions change.  ``queue_limit`` bounds requests
    waiting per shard, ``shards`` the owners among which the pool is split.
    """

    pool: str
    kind: TargetKind = TargetKind.ENGINE
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    urgency: Urgency = Urgency.NORMAL
    max_output_tokens: int = 32768
    queue_limit: int = 256
    shards: int = 1
    min_targets: int = 1
    routes: tuple[RouteRule, ...] = ()
