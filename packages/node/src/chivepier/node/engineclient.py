"""Calls to one generation at one engine."""

import contextlib
import json

import aiohttp

from chivepier.node.linklosterror import LinkLostError
from chivepier.node.lossreason import LossReason
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

GENERATION_HEADER = "X-Generation-Id"
ATTACH_HEADER = "X-Attach"
CONNECT_SECONDS = 2.0
CANCEL_SECONDS = 2.0
MAX_REFUSAL = 1 << 16


class EngineClient:
    """Starts, resumes and cancels a generation by its id.

    Each answer is checked to be for this generation before its body is
    read, and an answer that isn't read to its end is closed with its
    connection: bytes left on a connection would be the next answer's.
    ``attach`` is the number of the newest reader that was opened here;
    ``shared`` is set once another entry has opened one in between.
    """

    def __init__(
        self, http: aiohttp.ClientSession, address: str, generation: str
    ):
        self._http = http
        self._address = address
        self.generation = generation
        self.attach = 0
        self.shared = False

    async def start(self, path: str, body: dict) -> aiohttp.ClientResponse:
        """Dispatch the generation.

        :param path: ``chat/completions`` or ``completions``
        :param body: the request's JSON
        :returns: the open answer
        :raises LinkLostError: when the link fails
        :raises RequestError: when the engine refuses it
        """
        answer = await self._open(
            "POST",
            f"/v1/{path}",
            data=json.dumps(body).encode(),
            headers={
                "Content-Type": "application/json",
                GENERATION_HEADER: self.generation,
            },
        )
        return await self._check(answer)

    async def resume(self, index: int) -> aiohttp.ClientResponse:
        """Open another reader of the same generation.

        :param index: the first event that is wanted
        :returns: the open answer
        :raises LinkLostError: when the link fails
        :raises RequestError: ``generation_lost`` when it is unknown there
        """
        path = f"/v1/generations/{self.generation}"
        params = {"from": str(index)}
        answer = await self._open("GET", path, params=params)
        if answer.status == 404:
            answer.close()
            text = "the engine no longer has the generation"
            raise RequestError.of(ErrorKind.GENERATION_LOST, text, Ran.UNKNOWN)
        return await self._check(answer)

    async def cancel(self) -> int | None:
        """End the generation unless a later reader has attached.

        :returns: ``None`` when it is over, or nobody can tell any more;
            its tokens so far where a later reader keeps it
        """
        if self.shared:
            return None
        url = f"http://{self._address}/v1/generations/{self.generation}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_SECONDS)
        # without a reader's number nobody else can have attached yet
        params = {"attach": str(self.attach)} if self.attach else {}
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with self._http.delete(
                url, params=params, timeout=timeout
            ) as answer:
                plain = read_plain(await answer.read())
                tokens = plain.get("tokens")
                if answer.status != 200 or type(tokens) is not int:
                    return None
                return None if plain.get("cancelled") else tokens
        return None

    async def _open(
        self, method: str, path: str, **options
    ) -> aiohttp.ClientResponse:
        # silence is noticed by the relay's watchdog, not by the socket
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_SECONDS)
        url = f"http://{self._address}{path}"
        with translate_errors():
            return await self._http.request(
                method,
                url,
                timeout=timeout,
                allow_redirects=False,
                skip_auto_headers=("Accept-Encoding",),
                **options,
            )

    async def _check(
        self, answer: aiohttp.ClientResponse
    ) -> aiohttp.ClientResponse:
        if answer.status != 200:
            raise await self._read_refusal(answer)
        if answer.headers.get(GENERATION_HEADER) != self.generation:
            answer.close()
            text = "the engine answered another request"
            raise LinkLostError(LossReason.CROSSED, text)
        attach = answer.headers.get(ATTACH_HEADER, "")
        if attach.isascii() and attach.isdigit() and len(attach) < 10:
            self._note_attach(int(attach))
        return answer

    def _note_attach(self, attach: int) -> None:
        # its caller goes on elsewhere while this entry still reads; the
        # engine ends it when nobody reads any more
        if self.attach and attach > self.attach + 1:
            self.shared = True
        self.attach = max(self.attach, attach)

    async def _read_refusal(
        self, answer: aiohttp.ClientResponse
    ) -> RequestError:
        with translate_errors():
            data = await answer.content.read(MAX_REFUSAL)
        answer.close()
        ran = read_ran(data)
        text = f"the engine answered {answer.status}"
        return RequestError.of(ErrorKind.TARGET_FAILED, text, ran)


def read_plain(data: bytes) -> dict:
    """Read a small JSON object from a target.

    >>> read_plain(b"[1]")
    {}

    :param data: any bytes
    :returns: the object; empty when it isn't one
    """
    try:
        plain = json.loads(data)
    except (ValueError, RecursionError):
        return {}
    return plain if isinstance(plain, dict) else {}


def read_ran(data: bytes) -> Ran:
    """Tell what a target says of a request that it refused.

    >>> read_ran(b'{"error": {"kind": "full", "ran": "no"}}')
    <Ran.NO: 'no'>
    >>> read_ran(b"oops")
    <Ran.UNKNOWN: 'unknown'>

    :param data: the refusal's body
    :returns: ``NO`` only where the target says so
    """
    error = read_plain(data).get("error")
    ran = error.get("ran") if isinstance(error, dict) else None
    return Ran.NO if ran == Ran.NO.value else Ran.UNKNOWN


@contextlib.contextmanager
def translate_errors():
    """Turn the HTTP library's errors into those of the link.

    :raises LinkLostError: with what is known of the request's bytes
    """
    try:
        yield
    except aiohttp.ConnectionTimeoutError:
        text = "no connection in time"
        reason = LossReason.UNREACHABLE
        raise LinkLostError(reason, text, sent=False) from None
    except aiohttp.ClientConnectorError:
        text = "the target refused the connection"
        reason = LossReason.UNREACHABLE
        raise LinkLostError(reason, text, dead=True, sent=False) from None
    except TimeoutError:
        text = "no bytes came in time"
        raise LinkLostError(LossReason.STALLED, text) from None
    except (aiohttp.ClientError, ConnectionError) as error:
        text = f"the link was lost: {type(error).__name__}"
        raise LinkLostError(LossReason.CLOSED, text) from None
