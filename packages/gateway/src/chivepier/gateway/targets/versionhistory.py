"""Software versions of targets that are not known any more."""

import collections.abc

from chivepier.gateway.targets.pastversion import PastVersion

# Seconds for which a version is kept; longer than callers wait, who may take
# up what its targets began.
RETENTION_SECONDS = 1200.0
# Versions kept, the newest; targets that name another one at each start must
# not fill the memory.
MAX_VERSIONS = 200


class VersionHistory:
    """Keeps when a target of each version was last heard.

    A target that has fallen silent is dropped sooner than its callers give
    up. Without its version, the one that is left would be taken for theirs.

    >>> history = VersionHistory()
    >>> history.put(PastVersion("s", "v1", 10.0))
    >>> history.find("s", 5.0), history.find("s", 20.0)
    ({'v1'}, set())
    """

    def __init__(self) -> None:
        self._heard: dict[tuple[str, str], float] = {}

    def __iter__(self) -> collections.abc.Iterator[PastVersion]:
        for (service, version), heard in self._heard.items():
            yield PastVersion(service, version, heard)

    def put(self, past: PastVersion) -> None:
        """Note when a target of a version was heard.

        :param past: the version, and when
        """
        key = (past.service, past.software_version)
        heard = self._heard.pop(key, past.heard)
        self._heard[key] = max(heard, past.heard)
        if len(self._heard) > MAX_VERSIONS:
            del self._heard[next(iter(self._heard))]

    def find(self, service: str, since: float) -> set[str]:
        """Return the versions of a service that were heard since a time.

        :param service: name of the service
        :param since: monotonic time in seconds
        """
        return {
            version
            for (name, version), heard in self._heard.items()
            if name == service and heard >= since
        }

    def expire(self, now: float) -> None:
        """Drop what nobody asks for any more.

        :param now: monotonic time in seconds
        """
        self._heard = {
            key: heard
            for key, heard in self._heard.items()
            if now - heard <= RETENTION_SECONDS
        }
