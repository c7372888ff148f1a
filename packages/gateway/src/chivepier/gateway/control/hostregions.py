"""In which regions the requests to a host may be served."""

import collections.abc

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog

Regions = collections.abc.Mapping[str, frozenset[str]]
DecodeHostRegions = collections.abc.Callable[[bytes], Regions]


class HostRegions:
    """Regions by host, read once for each configuration.

    :param store: the configuration
    :param decode: reads the regions of a configuration as it was sent
    :param log: what can't be read
    """

    def __init__(
        self, store: ConfigStore, decode: DecodeHostRegions, log: EventLog
    ):
        self._store = store
        self._log = log
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
            self._version = held.version
            self._read(held)
        return self._regions.get(host.lower())

    def _read(self, held: StoredConfig) -> None:
        try:
            self._regions = self._decode(held.body)
        except ValueError as error:
            # a voter of another release took it; callers still need addresses,
            # and entries keep to what they can read themselves
            self._log.warn(
                "regions_unread", version=held.version, error=str(error)
            )
