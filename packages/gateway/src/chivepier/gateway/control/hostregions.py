"""Allowed regions of each host."""

import collections.abc

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog

RegionsByHost = collections.abc.Mapping[str, frozenset[str]]
DecodeHostRegions = collections.abc.Callable[[bytes], RegionsByHost]


class HostRegions:
    """Caches the allowed regions of each host per configuration version.

    :param store: store of the configuration
    :param decode: decodes the allowed regions from a configuration's bytes
    :param log: receives decoding errors
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
        """Return the regions allowed by a host's routes.

        :param host: host name requested by a caller
        :returns: the allowed regions; ``None`` if all are allowed
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
            # A voter of another release accepted this configuration. Keep the
            # previous regions, as callers still need addresses; entries
            # enforce what they can decode.
            self._log.warn(
                "regions_unread", version=config.version, error=str(error)
            )
