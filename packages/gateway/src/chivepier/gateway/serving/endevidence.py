"""What is known of a target after one of its answers ended."""

import attrs

from chivepier.gateway.serving.identity import Identity


@attrs.frozen
class EndEvidence:
    """Tells whether the incarnation that sent an answer lived after its end.

    :param identity: process that answered at its address after the end
    :param connected: whether another connection on which it has answered was
        still open then
    :param seconds: time from the end until that was known
    """

    identity: Identity
    connected: bool
    seconds: float

    @property
    def shows_life(self) -> bool:
        """Whether the incarnation is known to have lived after the end.

        A process that is killed loses all its connections at once.
        """
        match self.identity:
            case Identity.SAME:
                return True
            case Identity.OTHER | Identity.NOBODY:
                return False
            case Identity.UNKNOWN:
                return self.connected
