"""Request as received from a caller."""

import attrs

from chivepier.gateway.serving.eventsplitter import parse_number
from chivepier.gateway.serving.prompt import Prompt


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A complete request of a caller.

    :param id: request id of the caller, new for each attempt
    :param method: HTTP method
    :param url: path and query, byte for byte as sent
    :param path: path without the query
    :param host: host that the caller addressed
    :param headers: headers to forward, in their order
    :param body: complete body
    :param key: API key, if the caller sent one
    :param arrived: monotonic time in seconds when the head was read
    :param deadline: monotonic time in seconds when the caller stops waiting
    :param prompt: size of the generation; ``None`` for other requests
    :param shared_parts: identifiers of the parts of its prompt that other
        requests may share, in order
    :param last_event: id of the event after which a stream is to continue
    :param resumes: id of the caller's attempt that brought the first event of
        that stream
    :param software_version: version of the targets' software that the stream
        goes on at, as another entry found it; ``None`` if none has
    :param forwarded: whether another entry has forwarded it to this one
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
    shared_parts: tuple[str, ...] = ()
    last_event: str | None = None
    resumes: str | None = None
    software_version: str | None = None
    forwarded: bool = False

    @property
    def takes_up(self) -> bool:
        """Whether its caller has an event of the stream that it asks for.

        Of what entries forward, those of earlier releases write 0 for no
        event, and those of this one name a version with each event.
        """
        if self.forwarded and self.last_event == "0":
            return self.software_version is not None
        return bool(self.last_event)

    @property
    def last_event_number(self) -> int | None:
        """Number of the last event that its caller has.

        ``None`` if it has none, or one whose id is no number.
        """
        if not self.takes_up:
            return None
        return parse_number(self.last_event.encode(errors="replace"))
