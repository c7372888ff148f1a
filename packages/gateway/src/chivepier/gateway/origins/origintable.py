"""The streams of which it is known where they began."""

import collections
import collections.abc

import attrs

from chivepier.gateway.origins.origin import Origin
from chivepier.gateway.origins.originkey import OriginKey

# Origins that one node keeps, two of each stream; the oldest go first.
MAX_ORIGINS = 40_000


class OriginTable:
    """Keeps origins of streams, in any order of their arrival.

    An attempt's id is chosen by its caller. If two streams of a team use the
    same id at different versions, neither may go on: which one is meant is
    not known.
    """

    def __init__(self) -> None:
        self._origins: collections.OrderedDict[OriginKey, Origin] = (
            collections.OrderedDict()
        )

    def __iter__(self) -> collections.abc.Iterator[Origin]:
        return iter(list(self._origins.values()))

    def __len__(self) -> int:
        return len(self._origins)

    def put(self, origin: Origin, now: float) -> None:
        """Merge what is known of a stream.

        :param origin: where it began
        :param now: current monotonic time, in seconds
        """
        known = self.find(origin.key, now)
        if known is not None and (
            known.software_version != origin.software_version
            or known.service != origin.service
        ):
            origin = attrs.evolve(origin, software_version="")
        self._origins[origin.key] = origin
        self._origins.move_to_end(origin.key)
        while len(self._origins) > MAX_ORIGINS:
            self._origins.popitem(last=False)

    def find(self, key: OriginKey, now: float) -> Origin | None:
        """Return where a stream began, if that is known.

        :param key: identifies the stream
        :param now: current monotonic time, in seconds
        """
        origin = self._origins.get(key)
        if origin is None or origin.expires_at <= now:
            return None
        return origin

    def expire(self, now: float) -> None:
        """Drop what is kept no longer.

        :param now: current monotonic time, in seconds
        """
        for key, origin in list(self._origins.items()):
            if origin.expires_at <= now:
                del self._origins[key]
