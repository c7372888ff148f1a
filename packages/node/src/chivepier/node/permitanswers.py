"""Answers to an entry that asked for a permit."""

from chivepier.messages import PermitAnswer
from chivepier.types import ErrorKind


def make_grant(permit: int, target: str, address: str) -> PermitAnswer:
    """Grant a request.

    :param permit: the permit's number
    :param target: where the request may run
    :param address: the target's ``ip:port``
    :returns: the answer
    """
    return PermitAnswer(permit, target, address, 0, "", "", 0.0)


def make_refusal(
    kind: ErrorKind, message: str, retry_after: float
) -> PermitAnswer:
    """Refuse a request.

    :param kind: why
    :param message: why, for the caller
    :param retry_after: seconds until it should come back
    :returns: the answer
    """
    return PermitAnswer(0, "", "", 0, kind.value, message, retry_after)
