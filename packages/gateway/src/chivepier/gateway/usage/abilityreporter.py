"""Reports what an entry can do."""

import hashlib

from chivepier.gateway.settings import InstanceLimits
from chivepier.gateway.usage.ability import Ability
from chivepier.gateway.usage.usagemeter import UsageMeter

# Seconds after which an entry with fewer callers than others is named to the
# callers of another availability zone. They drop their connections to it, so
# that the interval is longer than most requests.
ROTATION_SECONDS = 20.0


class AbilityReporter:
    """Reports an entry's limits, how busy it is and its rotation.

    Rotations are counted by the entry, as voters have different clocks.

    :param name: name of the entry
    :param limits: what its instance can do
    :param meter: measures how much of it is used
    """

    def __init__(self, name: str, limits: InstanceLimits, meter: UsageMeter):
        self._limits = limits
        self._meter = meter
        # entries whose clocks are equal rotate one after the other
        digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
        self._phase = int.from_bytes(digest) / (1 << 32)

    def report(self, now: float) -> Ability:
        """Return what the entry tells voters.

        :param now: monotonic time of the entry, in seconds
        """
        limits = self._limits
        return Ability(
            millicores=round(1000 * limits.usable_cores),
            memory_mb=limits.memory_bytes >> 20,
            link_kbps=round(1000 * limits.link_mbps),
            descriptors=limits.descriptors,
            busy_percent=self._meter.busy_percent,
            rotation=int(now / ROTATION_SECONDS + self._phase),
        )
