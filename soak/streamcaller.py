"""Callers that keep the events of a stream and take it up where it broke."""

import contextlib

import aiohttp

from soak.callerheaders import make_caller_headers
from soak.signature import SIGNATURE
from soak.streamrecord import StreamRecord

CALLER_PORT = 8740
# Request path of the route whose streams may be resumed.
RESUME_PATH = "/resume/x"
# Time that a caller waits for the answer to an attempt.
DEADLINE_MS = 4_000


async def attempt_stream(
    session: aiohttp.ClientSession,
    ip: str,
    attempt: str,
    record: StreamRecord,
    extra: dict[str, str] | None = None,
    path: str = RESUME_PATH,
    names_attempt: bool = True,
    deadline_ms: int = DEADLINE_MS,
) -> int:
    """Begin a stream at an entry, or go on with it.

    :param session: sends the request
    :param ip: address of the entry
    :param attempt: id of this attempt
    :param record: gets the events; tells which the caller has
    :param extra: further headers of the request
    :param path: path of the request
    :param names_attempt: whether it names the attempt that it goes on with
    :param deadline_ms: time that the caller waits for the answer
    :returns: status of the answer; 0 if there was none
    """
    headers = make_caller_headers(attempt, deadline_ms) | (extra or {})
    if record.last_event is not None:
        headers["Last-Event-ID"] = str(record.last_event)
        if names_attempt:
            headers["Resumes"] = record.first_attempt
    url = f"http://{ip}:{CALLER_PORT}{path}"
    record.begin_attempt(attempt)
    status = 0
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with session.post(url, data=b"x", headers=headers) as answer:
            status = answer.status
            if status == 200 and _counts(answer, record):
                async for data in answer.content.iter_any():
                    record.feed(data)
                record.end()
    return status


def _counts(answer: aiohttp.ClientResponse, record: StreamRecord) -> bool:
    """Tell whether an answer counts, as the users' clients do.

    The first answer to the request for a rest is handed on as it is: its head
    tells whether it is that of a target.
    """
    if record.last_event is None:
        return True
    headers = answer.headers
    return SIGNATURE in headers and "Content-Encoding" not in headers
