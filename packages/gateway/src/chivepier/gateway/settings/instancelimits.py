"""What an instance can do."""

import attrs

# An event loop runs on one core, however many the instance has.
MAX_USABLE_CORES = 1.0
# Share of connections that peers may be about to make, and their number where
# the former isn't known.
PENDING_PEERS_SHARE = 0.125
DEFAULT_PENDING_PEERS = 512


@attrs.frozen(kw_only=True)
class InstanceLimits:
    """Limits of an instance; 0 for one that is unknown.

    >>> InstanceLimits(cores=1.3).usable_cores
    1.0

    :param cores: processor time per second, in cores
    :param memory_bytes: memory of the process, in bytes
    :param link_mbps: rate of its network link, in Mbit/s
    :param descriptors: open files and connections of the process
    :param connections: those of them that are not kept for other files
    """

    cores: float = 0.0
    memory_bytes: int = 0
    link_mbps: float = 0.0
    descriptors: int = 0
    connections: int = 0

    @property
    def usable_cores(self) -> float:
        """Processor time that one event loop can use, in cores."""
        return min(self.cores, MAX_USABLE_CORES)

    @property
    def pending_peers(self) -> int:
        """Connections at a time that may be those of peers, or may not."""
        if not self.connections:
            return DEFAULT_PENDING_PEERS
        return max(1, int(PENDING_PEERS_SHARE * self.connections))
