"""The exception that carries a failure to the interface."""

from chivepier.types.errorkind import ErrorKind
from chivepier.types.failure import Failure
from chivepier.types.ran import Ran


class RequestError(Exception):
    """Raised where a failure ends a request; answered from the one table."""

    def __init__(self, failure: Failure):
        super().__init__(failure.message)
        self.failure = failure

    @classmethod
    def of(
        cls, kind: ErrorKind, message: str, ran: Ran = Ran.NO
    ) -> "RequestError":
        """Make the error from its parts.

        :param kind: a member of the closed list
        :param message: one line for the caller
        :param ran: what is known of the request's execution
        :returns: the error, to be raised
        """
        return cls(Failure(kind, message, ran))
