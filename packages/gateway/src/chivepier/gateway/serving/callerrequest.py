"""One request of a caller."""

import attrs

from chivepier.gateway.serving.prompt import Prompt


@attrs.frozen(kw_only=True)
class CallerRequest:
    """What a caller sent, whole.

    :param id: the caller's, new for each attempt
    :param method: of HTTP
    :param url: path and query, byte for byte as sent
    :param path: without the query
    :param host: that the caller addressed
    :param headers: those to be passed on, in order
    :param body: whole
    :param key: the caller's, if it sent one
    :param arrived: when its head was read, in monotonic seconds
    :param deadline: when the caller stops waiting, in monotonic seconds
    :param prompt: set when it asks for a generation
    :param last_event: where the caller wants a stream to go on
    """

    id: str
    method: str
    url: str
    path: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    arrived: float
    deadline: float
    prompt: Prompt | None = None
    last_event: str | None = None
