"""The error of peer links."""


class LinkError(Exception):
    """A peer could not be reached, or did not answer in time.

    Whether the peer acted on the message is unknown, unless ``sent`` is
    false: then the message never left this process.  ``refused``: nobody
    listens at the peer's port, so the process that did has ended.
    """

    def __init__(self, message: str, sent: bool, refused: bool = False):
        super().__init__(message)
        self.sent = sent
        self.refused = refused
