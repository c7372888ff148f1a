"""Clients outside the limits at an entry of a deployment's smallest size."""

import random

from soak.crowdscenario import CrowdScenario
from soak.crowdscenario import LIMITS
from soak.invariantchecker import InvariantChecker
from soak.largetarget import LargeTarget


class HeavyCrowdScenario(CrowdScenario):
    """Has what each client costs bounded by memory, not by descriptors."""

    clients = 300
    # of the smallest entries
    memory_mb = 128
    max_descriptors = 4_100
    limits = {
        name: LIMITS[name] for name in LIMITS if name != "max-body-bytes"
    }

    def _make_target(
        self, address: str, controls: list[str], rng: random.Random
    ) -> LargeTarget:
        return LargeTarget(address, address, controls, InvariantChecker(), rng)
