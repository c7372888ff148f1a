"""Resume handles."""

import base64
import hashlib
import hmac

import attrs
import cbor2

from chivepier.types import ErrorKind
from chivepier.types import RequestError

TAG_BYTES = 12
MAX_INDEX_DIGITS = 9


@attrs.frozen
class Handle:
    """Where a generation runs and whose it is.

    Sent as the ``id:`` of each event, with the event's index behind it, so
    that any entry can resume the stream.  It is authenticated with the
    replicated secret: a team can't name another team's generation.

    ``target``, ``permit`` and ``prompt_tokens`` let another entry tell the
    owner which of its permits goes on; a handle of an instance that didn't
    write them opens all the same, and its generation isn't adopted.
    """

    address: str
    generation: str
    team: str
    template: str
    target: str = ""
    permit: int = 0
    prompt_tokens: int = 0

    def seal(self, secret: bytes) -> str:
        """Encode and authenticate.

        :param secret: the replicated secret
        :returns: URL-safe text without dots
        :raises RequestError: ``not_ready`` while there is no secret
        """
        if not secret:
            text = "this instance has no secret yet"
            raise RequestError.of(ErrorKind.NOT_READY, text)
        fields = cbor2.dumps(attrs.astuple(self))
        tag = _tag(secret, fields)
        return base64.urlsafe_b64encode(tag + fields).decode().rstrip("=")


def open_handle(text: str, secret: bytes, team: str) -> tuple[Handle, int]:
    """Check an event's ``id:`` that a caller sends back.

    :param text: handle, dot, index
    :param secret: the replicated secret
    :param team: the team that asks
    :returns: the handle and the index of the last event received
    :raises RequestError: ``bad_request``, ``forbidden`` or ``not_ready``
    """
    if not secret:
        # anyone could compute a tag under an empty secret
        text = "this instance has no secret yet"
        raise RequestError.of(ErrorKind.NOT_READY, text)
    sealed, _, index = text.rpartition(".")
    digits = index.isascii() and index.isdigit()
    if not digits or len(index) > MAX_INDEX_DIGITS:
        raise _bad()
    try:
        padded = sealed + "=" * (-len(sealed) % 4)
        data = base64.urlsafe_b64decode(padded)
    except ValueError:
        raise _bad() from None
    tag, fields = data[:TAG_BYTES], data[TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(secret, fields)):
        raise _bad()
    handle = Handle(*cbor2.loads(fields))
    if handle.team != team:
        text = "the stream belongs to another team"
        raise RequestError.of(ErrorKind.FORBIDDEN, text)
    return handle, int(index)


def _tag(secret: bytes, fields: bytes) -> bytes:
    digest = hmac.new(secret, fields, hashlib.sha256).digest()
    return digest[:TAG_BYTES]


def _bad() -> RequestError:
    return RequestError.of(ErrorKind.BAD_REQUEST, "bad Last-Event-ID")
