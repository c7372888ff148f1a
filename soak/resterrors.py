"""Errors that come where the rest of a stream is due."""

import contextlib
import enum
import gzip
import random

from aiohttp import web
import attrs

from soak.events import EVENT_STREAM
from soak.framing import CloseDelimitedResponse
from soak.signature import sign
from soak.streambreak import draw_stream_break
from soak.streambreak import StreamBreak

STATUSES = (400, 404, 429, 500, 502, 503, 504, 599)
OTHER_SUCCESSES = (202, 204, 206)
FOREIGN_EVENT = b"id: 7\n: v1\ndata: trouble\n\n"
TEXTS = (b"", b"upstream trouble", b"upstream trouble\n\n", FOREIGN_EVENT)
UNNUMBERED = b"event: error\ndata: trouble\n\n"
PAGES = {
    "application/json": b'{"error": "upstream trouble"}\n\n',
    "text/html": b"<html><body>upstream trouble</body></html>\n\n",
}
# Share of the streams that break off while a target errs.
BREAK_SHARE = 0.5


class RestError(enum.Enum):
    """What comes where the rest of a stream is due.

    ``STATUS`` is one of 4xx or 5xx, ``SUCCESS`` one of 2xx other than 200,
    ``UNSIGNED`` a text under 200 without a signature and ``EMPTY`` the same
    without a body. ``PAGE`` is JSON or HTML, ``CODED`` a body in a content
    coding, ``UNNUMBERED`` an event without a number; these are signed.
    """

    STATUS = "status"
    SUCCESS = "success"
    UNSIGNED = "unsigned"
    EMPTY = "empty"
    PAGE = "page"
    CODED = "coded"
    UNNUMBERED = "unnumbered"


@attrs.define
class RestErrors:
    """Breaks streams of one target off, and answers for their rests.

    :param rng: random number generator of this target alone
    :param kinds: what comes in the place of rests
    :param once: whether one rest only is answered so
    :param break_share: share of the streams that break off
    :param breaks_by_error: whether an error is written into these
    """

    rng: random.Random
    kinds: tuple[RestError, ...] = ()
    once: bool = False
    break_share: float = 0.0
    breaks_by_error: bool = False

    def clear(self) -> None:
        """Send streams and their rests as they should be."""
        self.kinds, self.break_share = (), 0.0

    def draw(self, request: web.BaseRequest) -> RestError | None:
        """Draw what comes in the place of a rest; ``None`` for the rest.

        :param request: a request for a stream, or for the rest of one
        """
        if not self.kinds or not request.headers.get("Last-Event-Id"):
            return None
        kind = self.rng.choice(self.kinds)
        if self.once:
            self.kinds = ()
        return kind

    def draw_break(self, first: int) -> StreamBreak | None:
        """Draw where and how a stream breaks off; ``None`` if it doesn't.

        :param first: place of the first event that is sent
        """
        if not self.break_share or self.rng.random() >= self.break_share:
            return None
        return draw_stream_break(self.rng, first, self.breaks_by_error)

    async def send(
        self, request: web.BaseRequest, echo: dict[str, str], kind: RestError
    ) -> web.StreamResponse:
        """Send an error in the place of a rest, in any framing.

        :param echo: headers of each answer of its target
        """
        await request.read()
        status, fields, body = self._make_answer(kind)
        fields = echo | fields
        whole = web.Response(status=status, headers=fields, body=body)
        response = self.rng.choice(
            (
                whole,
                web.StreamResponse(status=status, headers=fields),
                CloseDelimitedResponse(fields, status),
            )
        )
        if response is whole or status == 204:
            return whole
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await response.write(body)
            await response.write_eof()
        return response

    def _make_answer(
        self, kind: RestError
    ) -> tuple[int, dict[str, str], bytes]:
        """Return status, headers and body."""
        rng, signed = self.rng, sign("other")
        text, some = rng.choice(TEXTS), rng.choice(({}, EVENT_STREAM))
        match kind:
            case RestError.STATUS:
                fields = rng.choice(({}, signed))
                return rng.choice(STATUSES), fields, text
            case RestError.SUCCESS:
                status = rng.choice(OTHER_SUCCESSES)
                return status, some | signed, text if status != 204 else b""
            case RestError.UNSIGNED:
                return 200, some, text
            case RestError.EMPTY:
                return 200, some, b""
            case RestError.PAGE:
                form = rng.choice(list(PAGES))
                return 200, {"Content-Type": form} | signed, PAGES[form]
            case RestError.CODED:
                fields = EVENT_STREAM | {"Content-Encoding": "gzip"} | signed
                return 200, fields, gzip.compress(FOREIGN_EVENT, mtime=0)
            case RestError.UNNUMBERED:
                return 200, EVENT_STREAM | signed, UNNUMBERED
