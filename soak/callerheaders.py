"""Headers that each caller of the soak sends."""


def make_caller_headers(identity: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a request.

    :param identity: the request's id
    :param deadline_ms: time that the caller waits for the answer

    >>> make_caller_headers("n1", 2000)["X-Chivepier-Deadline-Ms"]
    '2000'
    """
    return {
        "Host": "h.example",
        "X-Chivepier-Request-Id": identity,
        "X-Api-Key": "k1",
        "X-Chivepier-Deadline-Ms": str(deadline_ms),
    }
