"""A fault hook on peer links."""

import attrs


@attrs.define
class Faults:
    """Peers whose frames are dropped silently, in both directions.

    A test cuts a link here, inside the process, so that a partition without
    resets needs no network tooling.  Empty in production.
    """

    cut: set[str] = attrs.field(factory=set)

    def blocks(self, peer: str) -> bool:
        """Tell whether frames of this peer are dropped.

        :param peer: the peer's address as ``ip:port``
        :returns: whether the link is cut; ``*`` cuts all of them
        """
        return peer in self.cut or "*" in self.cut
