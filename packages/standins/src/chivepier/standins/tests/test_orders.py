"""Tests of orders at the stand-in engine."""

import asyncio

from chivepier.standins.engine.orders import Orders
from chivepier.types import ManualClock


def run_orders(checks, fences):
    orders = Orders(ManualClock(), checks, "", [])
    body = {"order": "load_model", "model": "m", "version": "1"}

    async def run():
        return [(await orders.run({**body, "fence": f}))[0] for f in fences]

    return asyncio.run(run()), orders


def test_old_fence_is_refused_where_checked():
    statuses, orders = run_orders(True, [5, 4, 5])
    assert statuses == [200, 409, 200]
    assert orders.models == ["m@1"]


def test_old_fence_passes_where_ignored():
    statuses, _ = run_orders(False, [5, 4])
    assert statuses == [200, 200]


def test_unknown_order_changes_nothing():
    orders = Orders(ManualClock(), True, "", ["m@1"])
    status, _ = asyncio.run(orders.run({"order": "explode", "fence": 1}))
    assert status == 400
    assert orders.models == ["m@1"]
