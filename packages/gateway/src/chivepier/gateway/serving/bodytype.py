"""What the head of an answer tells of the kind of its body."""

import collections.abc

EVENT_STREAM = "text/event-stream"
PLAIN_CODING = "identity"

Fields = collections.abc.Iterable[tuple[str, str]]


def may_be_events(fields: Fields) -> bool:
    """Tell whether a body may be a series of events.

    A head without a type says nothing of it (RFC 9110, 8.3).

    >>> may_be_events([("content-type", "Text/Event-Stream; charset=utf-8")])
    True
    >>> may_be_events([]), may_be_events([("Content-Type", "text/html")])
    (True, False)

    :param fields: names and values of the head
    """
    return all(name == EVENT_STREAM for name in _list_types(fields))


def declares_events(fields: Fields) -> bool:
    """Tell whether a body is declared to be a series of events.

    >>> declares_events([("Content-Type", "text/event-stream")])
    True
    >>> declares_events([])
    False

    :param fields: names and values of the head
    """
    types = _list_types(fields)
    return bool(types) and all(name == EVENT_STREAM for name in types)


def _list_types(fields: Fields) -> list[str]:
    return [
        value.partition(";")[0].strip().lower()
        for name, value in fields
        if name.lower() == "content-type"
    ]


def is_coded(fields: Fields) -> bool:
    """Tell whether a body has a content coding, in which nothing is seen.

    >>> is_coded([("Content-Encoding", "gzip")])
    True
    >>> is_coded([("Content-Encoding", "identity")]), is_coded([])
    (False, False)

    :param fields: names and values of the head
    """
    return any(
        coding.strip().lower() not in ("", PLAIN_CODING)
        for name, value in fields
        if name.lower() == "content-encoding"
        for coding in value.split(",")
    )
