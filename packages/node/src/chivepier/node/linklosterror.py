"""The error of one reader of a generation."""

from chivepier.node.lossreason import LossReason


class LinkLostError(Exception):
    """One reader failed; the generation itself may well go on.

    ``dead`` is set where nothing listens at the target's address any more,
    ``sent`` where bytes of the request may have reached it.
    """

    def __init__(
        self,
        reason: LossReason,
        message: str,
        dead: bool = False,
        sent: bool = True,
    ):
        super().__init__(message)
        self.reason = reason
        self.dead = dead
        self.sent = sent
