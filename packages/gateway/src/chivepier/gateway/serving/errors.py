"""How a send to a target can fail."""


class NotSentError(Exception):
    """The request never left this process: it has surely not run."""


class NotPermittedError(NotSentError):
    """The request must not be sent to this target now."""


class NoCapacityError(Exception):
    """No target had room for as long as the request could wait."""


class RateLimitedError(Exception):
    """All targets that are left are in need, and take no more now.

    :param rate: requests a second that they take together
    """

    def __init__(self, rate: float):
        super().__init__(f"targets in need take {rate:g} requests a second")
        self.rate = rate


class AllAtRestError(Exception):
    """All targets have asked this entry to send nothing for a while.

    :param seconds: until the first of them may be sent something
    """

    def __init__(self, seconds: float):
        super().__init__(f"all targets are at rest for {seconds:.3f} s")
        self.seconds = seconds


class ConnectionLostError(Exception):
    """The connection broke before an answer: it may have run."""


class BrokenAnswerError(Exception):
    """An answer began and broke off, or is not one to this request."""
