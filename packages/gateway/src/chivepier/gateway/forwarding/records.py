"""Conversion between requests, failures and their messages."""

import datetime

from chivepier.gateway.forwarding.forwardstate import ForwardState
from chivepier.gateway.messages import ForwardPart
from chivepier.gateway.messages import ForwardRequest
from chivepier.gateway.messages import HeaderField
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.serving import CallerRequest
from chivepier.gateway.serving import Prompt
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran

# Stands for a number that is not given.
NONE = -1


def _make_encodable(text: str) -> str:
    r"""Leave out what no message can hold, and no target is sent either.

    >>> _make_encodable("caf\xe9 \udcff")
    'caf\xe9 '
    """
    return text.encode(errors="ignore").decode()


def pack_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[HeaderField, ...]:
    """Convert headers to records."""
    return tuple(
        HeaderField(_make_encodable(name), _make_encodable(value))
        for name, value in headers
    )


def unpack_headers(
    fields: tuple[HeaderField, ...],
) -> tuple[tuple[str, str], ...]:
    """Convert records to headers."""
    return tuple((field.name, field.value) for field in fields)


def pack_request(
    request: CallerRequest, entry: str, version: int, runs: int, now: float
) -> ForwardRequest:
    """Convert a caller's request to the message that forwards it.

    :param request: the request
    :param entry: name of this entry
    :param version: version of this entry's configuration
    :param runs: number of targets that may have run it
    :param now: current monotonic time, in seconds
    """
    prompt = request.prompt
    hint = prompt.length_hint if prompt else None
    return ForwardRequest(
        entry=entry,
        id=_make_encodable(request.id),
        method=request.method,
        url=request.url,
        path=request.path,
        host=request.host,
        headers=pack_headers(request.headers),
        body=request.body,
        has_key=request.key is not None,
        key=request.key or "",
        version=version,
        elapsed=max(0.0, now - request.arrived),
        left=request.deadline - now,
        runs=runs,
        prompt_tokens=prompt.tokens if prompt else NONE,
        max_output=prompt.max_output if prompt else NONE,
        length_hint=NONE if hint is None else hint,
        has_last_event=request.last_event is not None,
        last_event=_make_encodable(request.last_event or ""),
        # the same stream at each entry
        resumes=OriginKey("", request.resumes or "").attempt,
        software_version=request.software_version or "",
        shared_parts=request.shared_parts,
        judges=True,
    )


def unpack_request(message: ForwardRequest, now: float) -> CallerRequest:
    """Convert a forwarded request to the one that its caller sent.

    :param message: the message
    :param now: current monotonic time of this process, in seconds
    """
    prompt = None
    if message.prompt_tokens != NONE:
        hint = message.length_hint
        prompt = Prompt(
            tokens=message.prompt_tokens,
            max_output=message.max_output,
            length_hint=None if hint == NONE else hint,
        )
    return CallerRequest(
        id=message.id,
        method=message.method,
        url=message.url,
        path=message.path,
        host=message.host,
        headers=unpack_headers(message.headers),
        body=message.body,
        key=message.key if message.has_key else None,
        arrived=now - message.elapsed,
        deadline=now + message.left,
        prompt=prompt,
        last_event=message.last_event if message.has_last_event else None,
        resumes=message.resumes or None,
        software_version=message.software_version or None,
        shared_parts=message.shared_parts,
        forwarded=True,
    )


def pack_failure(handle: int, failure: Failure) -> ForwardPart:
    """Convert a failure to the part that ends an answer."""
    pause = failure.retry_after
    return ForwardPart(
        handle,
        ForwardState.FAILED.value,
        kind=failure.kind.value,
        ran=failure.ran.value,
        message=failure.message,
        retry_after=NONE if pause is None else pause.total_seconds(),
    )


def unpack_failure(part: ForwardPart) -> Failure:
    """Convert the part that ends an answer to its failure.

    :raises ValueError: when it has a value of another release
    """
    pause = None
    if part.retry_after >= 0:
        pause = datetime.timedelta(seconds=part.retry_after)
    return Failure(ErrorKind(part.kind), part.message, Ran(part.ran), pause)
