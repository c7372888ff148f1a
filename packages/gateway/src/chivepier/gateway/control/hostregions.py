"""In which regions the requests to a host may be served."""

import collections.abc

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog

RegionsByHost = collections.abc.Mapping[str, frozenset[str]]
DecodeHostRegions = collections.abc.Callable[[bytes], RegionsByHost]


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
        self._regions: RegionsByHost = {}

    def find(self, host: str) -> frozenset[str] | None:
        """Return the regions that a host's routes allow.

        :param host: that a caller wants to reach
        :returns: ``None`` where they allow all
        """
        config = self._store.find_committed()
        if config is None:
            return None
        if config.version != self._version:
            self._version = config.version
            self._read(config)
        return self._regions.get(host.lower())

    def _read(self, config: StoredConfig) -> None:
        try:
            self._regions = self._decode(config.body)
        except ValueError as error:
            # a voter of another release took it; callers still need addresses,
            # and entries keep to what they can read themselves
            self._log.warn(
                "regions_unread", version=config.version, error=str(error)
            )
