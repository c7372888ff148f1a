"""The error raised when a peer link fails."""


class LinkError(Exception):
    """A peer could not be reached, or did not answer in time.

    :param message: what failed
    :param sent: whether the message may have reached the peer; if false, it
        never left this process, otherwise the outcome is unknown
    :param refused: whether the peer's host refused the connection: nothing
        listens on the port, so the peer's process has ended
    """

    def __init__(self, message: str, sent: bool, refused: bool = False):
        super().__init__(message)
        self.sent = sent
        self.refused = refused
