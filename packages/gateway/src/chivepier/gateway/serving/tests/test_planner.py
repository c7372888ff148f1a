"""Tests of planning requests by the active configuration."""

import asyncio
import collections
import random

import pytest

from chivepier.gateway.config import Configuration
from chivepier.gateway.config import Repetition
from chivepier.gateway.config import Route
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.config import Service
from chivepier.gateway.serving.planner import Planner
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.serving.tests.parts import make_request


def make_index(weights: dict[str, float]) -> RouteIndex:
    """Make a configuration with one route to services with weights."""
    route = Route(
        name="r",
        host="h.example",
        prefix="/read/",
        pools=tuple(weights.items()),
        streaming=False,
        repetition=Repetition.IDEMPOTENT,
        attempts=1,
        timeout=1.0,
        objective=0.1,
        public=True,
    )
    services = tuple(Service(name=name, connections=1) for name in weights)
    return RouteIndex(
        Configuration(version=1, routes=(route,), services=services)
    )


@pytest.mark.parametrize("weight", [5e-324, 1.0, 1e308])
def test_services_of_any_finite_weight_are_used(weight):
    # A sum beyond the largest float answered each request with 500.
    index = make_index({"a": weight, "b": weight, "c": 0.0})
    planner = Planner(ServingState(index=index), random.Random(1))

    async def count() -> collections.Counter:
        return collections.Counter(
            planner.plan(make_request("/read/x")).service.name
            for _ in range(100)
        )

    counts = asyncio.run(count())
    assert counts["a"] + counts["b"] == 100
    assert min(counts["a"], counts["b"]) > 30
