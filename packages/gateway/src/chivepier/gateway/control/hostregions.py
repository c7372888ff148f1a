"""In which regions the requests to a host may be served."""

import collections.abc

from chivepier.gateway.control.configstore import ConfigStore

Regions = collections.abc.Mapping[str, frozenset[str]]
DecodeHostRegions = collections.abc.Callable[[bytes], Regions]


class HostRegions:
    """Regions by host, read once for each configuration.

    :param store: the configuration
    :param decode: reads the regions of a configuration as it was sent
    """

    def __init__(self, store: ConfigStore, decode: DecodeHostRegions):
        self._store = store
        self._decode = decode
        self._version = -1
        self._regions: Regions = {}

    def find(self, host: str) -> frozenset[str] | None:
        """Return the regions that a host's routes allow.

        :param host: that a caller wants to reach
        :returns: ``None`` where they allow all
        """
        held = self._store.held()
        if held is None:
            return None
        if held.version != self._version:
            self._regions = self._decode(held.body)
            self._version = held.version
        return self._regions.get(host.lower())
