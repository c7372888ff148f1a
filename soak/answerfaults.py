"""Faulty answers of a target: sent twice, unnamed, crossed or broken off."""

import asyncio
import enum
import random
import weakref

from aiohttp import web
import attrs

# Range of the seconds after which a second answer is sent, unless the next
# request comes first.
LATE_SECONDS = (0.0, 0.05)


class AnswerFault(enum.Enum):
    """What a target does to an answer.

    ``REPEATED`` sends it a second time where the next answer is due, ``LATE``
    a moment later, and ``UNNAMED`` as the first, without the request's id.
    ``UNSTATED`` answers a request that ran like a refused one that doesn't say
    "not run". ``CROSSED`` names another request, ``GARBLED`` sends bytes that
    are no answer, ``CUT`` closes within the answer and ``LOST`` before it.
    ``UNTITLED`` has a first line that is none of HTTP/1.
    """

    REPEATED = "repeated"
    LATE = "late"
    UNNAMED = "unnamed"
    UNSTATED = "unstated"
    CROSSED = "crossed"
    GARBLED = "garbled"
    CUT = "cut"
    LOST = "lost"
    UNTITLED = "untitled"


# After these, the other side can't know what the answer said.
UNREADABLE = frozenset(
    (
        AnswerFault.CROSSED,
        AnswerFault.GARBLED,
        AnswerFault.CUT,
        AnswerFault.LOST,
        AnswerFault.UNTITLED,
    )
)
FIRST_LINES = (
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 ",
    b"HTTP/1.1 999 Odd",
    b"HTTP/2.0 200 OK",
    b"RTSP/1.0 200 OK",
)


@attrs.define
class AnswerFaults:
    """Spoils a share of the answers of one target.

    :param rng: random number generator of this target alone
    :param kinds: what happens to spoiled answers
    :param share: share of the answers that are spoiled
    :ivar spoiled: number of answers that were spoiled
    """

    rng: random.Random
    kinds: tuple[AnswerFault, ...] = ()
    share: float = 0.3
    spoiled: int = attrs.field(default=0, init=False)
    _due: dict[asyncio.BaseTransport, bytes] = attrs.field(
        factory=dict, init=False
    )
    # connections whose next answers stand behind a second one
    _crossed: weakref.WeakSet[asyncio.BaseTransport] = attrs.field(
        factory=weakref.WeakSet, init=False
    )

    def send_due(self, request: web.BaseRequest) -> None:
        """Send the second answer to an earlier request of a connection."""
        due = self._due.pop(request.transport, None)
        if due is not None:
            self.spoiled += 1
            self._write(request.transport, due)

    def can_be_read(
        self, request: web.BaseRequest, fault: AnswerFault | None
    ) -> bool:
        """Tell whether the other side can know what an answer says.

        Where a second answer was sent before, that one comes in its place,
        and whoever asked closes the connection.

        :param request: the request that is answered now
        :param fault: what happens to the answer
        """
        transport = request.transport
        if transport is None or fault in UNREADABLE:
            return False
        return transport not in self._crossed

    def _write(self, transport: asyncio.BaseTransport, data: bytes) -> None:
        """Send a second answer, unless the connection has ended."""
        if not transport.is_closing():
            self._crossed.add(transport)
            transport.write(data)

    def draw(self) -> AnswerFault | None:
        """Draw what happens to the next answer; ``None`` for nothing."""
        if not self.kinds or self.rng.random() >= self.share:
            return None
        return self.rng.choice(self.kinds)

    def apply(
        self,
        request: web.BaseRequest,
        answer: web.Response,
        fault: AnswerFault | None,
        ran: bool,
    ) -> web.Response:
        """Return the answer to send, spoiled or not.

        :param request: the request
        :param answer: the answer as it should be
        :param fault: what happens to it
        :param ran: whether the request ran
        """
        transport, data = request.transport, encode(answer)
        if transport is None:
            # whoever asked has gone
            return answer
        match fault:
            case None:
                return answer
            case AnswerFault.REPEATED:
                self._due[transport] = data
                return answer
            case AnswerFault.LATE:
                delay = self.rng.uniform(*LATE_SECONDS)
                loop = asyncio.get_running_loop()
                loop.call_later(delay, self._write, transport, data)
            case AnswerFault.UNNAMED:
                self._due[transport] = encode(answer, named=False)
                return answer
            case AnswerFault.UNSTATED if ran:
                answer = _copy(answer, status=503)
            case AnswerFault.CROSSED:
                answer = _copy(answer, {"X-Chivepier-Request-Id": "other"})
            case AnswerFault.GARBLED:
                transport.write(self.rng.randbytes(200))
                transport.close()
            case AnswerFault.CUT:
                transport.write(data[: self.rng.randrange(1, len(data))])
                transport.close()
            case AnswerFault.LOST:
                transport.abort()
            case AnswerFault.UNTITLED:
                _, _, rest = data.partition(b"\r\n")
                line = self.rng.choice(FIRST_LINES)
                transport.write(line + b"\r\n" + rest)
                transport.close()
            case _:
                return answer
        self.spoiled += 1
        return answer


def encode(answer: web.Response, named: bool = True) -> bytes:
    """Return the bytes of an answer.

    :param answer: an answer that was not sent yet
    :param named: whether it names its request
    """
    lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
    lines += [
        f"{name}: {value}"
        for name, value in answer.headers.items()
        if name != "Content-Length"
        and (named or name != "X-Chivepier-Request-Id")
    ]
    body = answer.body or b""
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _copy(
    answer: web.Response,
    headers: dict[str, str] | None = None,
    status: int | None = None,
) -> web.Response:
    return web.Response(
        status=status or answer.status,
        headers={**answer.headers, **(headers or {})},
        body=answer.body,
    )
