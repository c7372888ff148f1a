"""The one table from error kind to answer."""

import math

from chivepier.types.errorkind import ErrorKind
from chivepier.types.errorrule import ErrorRule
from chivepier.types.failure import Failure

ERROR_TABLE: dict[ErrorKind, ErrorRule] = {
    ErrorKind.BAD_REQUEST: ErrorRule(400, 2, None),
    ErrorKind.UNAUTHORIZED: ErrorRule(401, 10, None),
    ErrorKind.FORBIDDEN: ErrorRule(403, 11, None),
    ErrorKind.NOT_FOUND: ErrorRule(404, 12, None),
    ErrorKind.TOO_LARGE: ErrorRule(413, 13, None),
    ErrorKind.VERSION_CONFLICT: ErrorRule(409, 14, None),
    ErrorKind.KEY_REUSED: ErrorRule(422, 15, None),
    ErrorKind.IN_PROGRESS: ErrorRule(409, 16, 1.0),
    ErrorKind.OUTCOME_UNKNOWN: ErrorRule(409, 17, None),
    ErrorKind.OVERLOADED: ErrorRule(429, 18, 1.0),
    ErrorKind.NO_TARGET: ErrorRule(503, 19, 2.0),
    ErrorKind.NOT_READY: ErrorRule(503, 20, 1.0),
    ErrorKind.DRAINING: ErrorRule(503, 21, 0.0),
    ErrorKind.HELD_BACK: ErrorRule(503, 28, 3600.0),
    ErrorKind.NO_QUORUM: ErrorRule(503, 22, 2.0),
    ErrorKind.NOT_IN_FORCE: ErrorRule(504, 23, 2.0),
    ErrorKind.TARGET_FAILED: ErrorRule(502, 24, 1.0),
    ErrorKind.GENERATION_LOST: ErrorRule(502, 25, 0.0),
    ErrorKind.STOPPED_EARLY: ErrorRule(503, 26, 2.0),
    ErrorKind.TIMEOUT: ErrorRule(504, 27, 1.0),
    ErrorKind.INTERNAL: ErrorRule(500, 1, 1.0),
}


def seconds_to_retry(failure: Failure) -> float | None:
    """Return when to come back, in seconds, or ``None`` for never.

    >>> seconds_to_retry(Failure(ErrorKind.FORBIDDEN, "not yours"))
    >>> seconds_to_retry(Failure(ErrorKind.NO_TARGET, "none"))
    2.0

    :param failure: the failure to be answered
    :returns: the measured hint where there is one, else the table's
    """
    if failure.retry_after is not None:
        return failure.retry_after.total_seconds()
    return ERROR_TABLE[failure.kind].retry_after


def render_failure(failure: Failure) -> dict:
    """Build the body of an error answer.

    :param failure: the failure to be answered
    :returns: a mapping ready for JSON
    """
    return {
        "error": {
            "kind": failure.kind.value,
            "message": failure.message,
            "ran": failure.ran.value,
            "retry_after": seconds_to_retry(failure),
        }
    }


def render_headers(failure: Failure) -> dict[str, str]:
    """Build the headers of an error answer.

    :param failure: the failure to be answered
    :returns: ``Retry-After`` in whole seconds where a retry can help
    """
    seconds = seconds_to_retry(failure)
    if seconds is None:
        return {}
    return {"Retry-After": str(math.ceil(seconds))}
