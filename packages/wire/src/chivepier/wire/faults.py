"""Fault injection for peer links."""

import attrs


@attrs.define
class Faults:
    """Drops the frames of chosen peers silently, in both directions.

    Tests simulate a network partition without connection resets this way,
    without network tools. ``cut`` holds peer addresses; it is empty in
    production.
    """

    cut: set[str] = attrs.field(factory=set)

    def blocks(self, peer: str) -> bool:
        """Tell whether frames to and from a peer are dropped.

        :param peer: the peer's address as ``ip:port``
        :returns: whether ``cut`` has the address, or ``*`` for all peers
        """
        return peer in self.cut or "*" in self.cut
