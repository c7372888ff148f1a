"""The waiting requests of one team and class."""

import collections

from chivepier.policy.ask import Ask


class ClassQueue(collections.OrderedDict[str, Ask]):
    """Requests in order of arrival; any of them can leave."""

    def head(self) -> Ask:
        """Return the request that waits longest."""
        return next(iter(self.values()))

    def tail(self) -> Ask:
        """Return the request that came last."""
        return next(reversed(self.values()))
