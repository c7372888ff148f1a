"""What the status of a target's answer says."""

# RFC 9110, 15: others are no status of an answer.
FINAL_STATUSES = range(200, 600)
SUCCESS_STATUSES = range(200, 300)


def is_success(status: int) -> bool:
    """Tell whether a status is a success.

    >>> is_success(200), is_success(404), is_success(0)
    (True, False, False)

    :param status: status of an answer
    """
    return status in SUCCESS_STATUSES
