"""Which orders lead from announced to intended state."""

import collections.abc

from chivepier.messages import Announcement
from chivepier.node.intent import Intent
from chivepier.node.order import Order
from chivepier.node.orderkind import OrderKind

SERVE = "serve"


def plan_orders(
    intents: list[Intent],
    targets: collections.abc.Iterable[Announcement],
    busy: collections.abc.Mapping[str, Order],
) -> list[Order]:
    """Compare intended and announced state.

    An old version goes only once so many targets have the new one that the
    template's minimum keeps serving; a target that is leaving counts for
    nothing and is replaced by one that stands idle.

    :param intents: urgent ones first
    :param targets: as announced
    :param busy: orders that are outstanding, by target
    :returns: orders for targets that have none, the most urgent first
    """
    staying = [t for t in targets if not t.leaving]
    orders: list[Order] = []
    taken = set(busy)
    for intent in intents:
        pool = [t for t in staying if t.pool == intent.pool]
        for order in _plan_intent(intent, pool, busy):
            if order.target not in taken:
                taken.add(order.target)
                orders.append(order)
    for target, intent in _place_idle(intents, staying, busy, taken):
        orders.append(_load(target, intent))
    return orders


def _plan_intent(
    intent: Intent,
    pool: list[Announcement],
    busy: collections.abc.Mapping[str, Order],
) -> collections.abc.Iterator[Order]:
    holding = [t for t in pool if intent.is_held(t)]
    serving = [t for t in pool if intent.is_served(t)]
    behind = [t for t in holding if t not in serving]
    loading = sum(_loads(o, intent) for o in busy.values())
    # should a target not serve while it loads, the minimum still does
    room = max(1, len(holding) - intent.min_targets) - loading
    for target in behind[: max(0, room)]:
        yield _load(target, intent)
    least = min(intent.min_targets, len(holding))
    for target in serving:
        yield from _tidy(intent, target, len(serving) >= least)


def _tidy(
    intent: Intent, target: Announcement, enough: bool
) -> collections.abc.Iterator[Order]:
    if target.role != SERVE:
        yield _order(target, OrderKind.SET_ROLE, role=SERVE)
    for adapter in sorted(intent.adapters - set(target.adapters)):
        yield _order(target, OrderKind.LOAD_ADAPTER, adapter=adapter)
    if enough:
        for version in intent.list_old(target):
            yield _order(
                target,
                OrderKind.UNLOAD_MODEL,
                model=intent.model,
                version=version,
            )


def _place_idle(
    intents: list[Intent],
    staying: list[Announcement],
    busy: collections.abc.Mapping[str, Order],
    taken: set[str],
) -> collections.abc.Iterator[tuple[Announcement, Intent]]:
    """Give each idle target the model that lacks targets most."""
    counts = {
        i.pool
        + "/"
        + i.name: sum(t.pool == i.pool and i.is_held(t) for t in staying)
        + sum(_loads(o, i) for o in busy.values())
        for i in intents
    }
    for target in staying:
        fitting = [i for i in intents if i.pool == target.pool]
        if target.target in taken or not fitting:
            continue
        if any(i.is_held(target) for i in fitting):
            continue
        intent = min(fitting, key=lambda i: _rank(i, counts))
        lacking = counts[intent.pool + "/" + intent.name] < intent.min_targets
        # a target that is set apart is used where the minimum lacks only
        if lacking or target.role == SERVE:
            counts[intent.pool + "/" + intent.name] += 1
            yield target, intent


def _rank(intent: Intent, counts: dict[str, int]) -> tuple:
    count = counts[intent.pool + "/" + intent.name]
    share = count / max(1, intent.min_targets)
    if share < 1:
        return 0, -intent.urgency, share
    return 1, share, -intent.urgency


def _loads(order: Order, intent: Intent) -> bool:
    return order.kind is OrderKind.LOAD_MODEL and (
        (order.model, order.version) == (intent.model, intent.version)
    )


def _load(target: Announcement, intent: Intent) -> Order:
    return _order(
        target,
        OrderKind.LOAD_MODEL,
        model=intent.model,
        version=intent.version,
    )


def _order(target: Announcement, kind: OrderKind, **fields: str) -> Order:
    return Order(
        target=target.target,
        address=target.address,
        checks_fence=target.checks_fence,
        kind=kind,
        **fields,
    )
