"""The ForwardRequest message."""

from chivepier.gateway.messages.headerfield import HeaderField
from chivepier.messages.registry import message


@message(181)
class ForwardRequest:
    """A caller's request that an entry forwards to another one.

    ``entry`` is the entry that the caller asked, and ``version`` that of its
    configuration. ``elapsed`` and ``left`` are the seconds since the request
    arrived there and until its caller stops waiting. ``runs`` is the number of
    targets that may have run it. ``prompt_tokens``, ``max_output`` and
    ``length_hint`` are the sizes of a generation, -1 if not given, and
    ``has_key`` and ``has_last_event`` tell a missing text from an empty one.
    ``resumes`` is the attempt that began the stream which the request goes on
    with, and ``software_version`` that of the targets that may do so; both are
    empty if there is none, or if it is not known. ``shared_parts`` identify
    the parts of its prompt that other requests may share. ``judges`` tells
    that the entry judges itself whether an answer goes on with a stream; those
    of earlier releases take any status for its rest.
    """

    entry: str
    id: str
    method: str
    url: str
    path: str
    host: str
    headers: tuple[HeaderField, ...]
    body: bytes
    has_key: bool
    key: str
    version: int
    elapsed: float
    left: float
    runs: int
    prompt_tokens: int
    max_output: int
    length_hint: int
    has_last_event: bool
    last_event: str
    resumes: str = ""
    software_version: str = ""
    shared_parts: tuple[str, ...] = ()
    judges: bool = False
