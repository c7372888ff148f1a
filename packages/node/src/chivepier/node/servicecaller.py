"""Sending calls to plain services, under permits."""

import asyncio

import aiohttp
import attrs
import multidict
import yarl

from chivepier.messages import ClaimState
from chivepier.messages import Outcome
from chivepier.messages import PermitAnswer
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ReleaseReport
from chivepier.node.asking import acquire_permit
from chivepier.node.directory import Service
from chivepier.node.dispatchguard import DispatchedTwiceError
from chivepier.node.dispatchguard import DispatchGuard
from chivepier.node.engineclient import CONNECT_SECONDS
from chivepier.node.engineclient import read_ran
from chivepier.node.engineclient import translate_errors
from chivepier.node.entry import Entry
from chivepier.node.framing import is_framed
from chivepier.node.linklosterror import LinkLostError
from chivepier.node.servicecall import ServiceCall
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

UNAVAILABLE = (502, 503, 504)
MAX_ANSWER = 32 << 20
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class ServiceCaller:
    """Tries a call at targets until it is answered, or may have run.

    An idempotent call goes to another target after any failure, within the
    retry budget.  Another call does so only where it is proven that the
    target did not run it: the connection was refused, or the target said so.
    """

    def __init__(self, entry: Entry, service: Service, call: ServiceCall):
        self._entry = entry
        self._service = service
        self._call = call
        self._excluded: tuple[str, ...] = ()
        self._ran = Ran.NO
        self._budget = entry.budgets.of(service.template.pool)
        self._budget.earn()

    async def run(self) -> Outcome:
        """Get the answer.

        :returns: the target's status, headers and body
        :raises RequestError: with what is known of its execution
        """
        while True:
            request = self._permit_request()
            try:
                request, permit = await acquire_permit(
                    self._entry, request, request.request
                )
            except RequestError as error:
                raise RequestError(self._admit_run(error.failure)) from None
            try:
                return await self._attempt(request, permit)
            except RequestError as error:
                self._weigh(error.failure, permit)

    def _admit_run(self, failure: Failure) -> Failure:
        # "not run" must hold for every target that was tried
        if failure.ran is Ran.NO and self._ran is not Ran.NO:
            return attrs.evolve(failure, ran=self._ran)
        return failure

    def _weigh(self, failure: Failure, permit: PermitAnswer) -> None:
        failure = self._admit_run(failure)
        self._ran = failure.ran
        fits = failure.kind is ErrorKind.TARGET_FAILED
        if not self._call.idempotent and failure.ran is not Ran.NO:
            fits = False
        if not fits or not self._budget.spend():
            raise RequestError(failure)
        self._entry.metrics.retries.labels(failure.kind.value).inc()
        self._excluded += (permit.target,)

    async def _attempt(
        self, request: PermitRequest, permit: PermitAnswer
    ) -> Outcome:
        outcome = PermitOutcome.CANCELLED
        try:
            with self._entry.permits.hold(request, permit):
                answer = await self._send(permit.address)
            outcome = PermitOutcome.FINISHED
            return answer
        except RequestError as error:
            outcome = PermitOutcome.TARGET_FAILED
            if error.failure.ran is Ran.NO:
                outcome = PermitOutcome.NOT_RUN
            raise
        finally:
            report = ReleaseReport(
                self._entry.cluster.holder,
                request.pool,
                request.shard,
                permit.permit,
                1,
                int(outcome),
            )
            release = self._entry.permits.release(report)
            await asyncio.shield(self._entry.background.spawn(release))

    def _permit_request(self) -> PermitRequest:
        service = self._service
        return PermitRequest(
            self._entry.permits.name_request(),
            service.template.pool,
            0,
            service.team,
            service.template_name,
            "",
            "",
            int(service.urgency),
            0,
            1,
            (),
            self._entry.cluster.settings.zone,
            self._entry.cluster.peer_address,
            self._entry.patience.queue,
            self._excluded,
        )

    async def _send(self, address: str) -> Outcome:
        call = self._call
        http = self._entry.http if call.idempotent else self._entry.once
        text = f"http://{address}{call.path}"
        if call.query:
            text += f"?{call.query}"
        url = yarl.URL(text, encoded=True)
        try:
            with translate_errors():
                async with http.request(
                    call.method,
                    url,
                    data=call.body or None,
                    headers=call.headers,
                    timeout=aiohttp.ClientTimeout(
                        total=self._entry.patience.call,
                        sock_connect=CONNECT_SECONDS,
                    ),
                    allow_redirects=False,
                    middlewares=(DispatchGuard(),),
                ) as answer:
                    return await self._read(answer)
        except LinkLostError as lost:
            ran = Ran.UNKNOWN if lost.sent else Ran.NO
            kind = ErrorKind.TARGET_FAILED
            raise RequestError.of(kind, str(lost), ran) from None
        except DispatchedTwiceError:
            text = "the link was lost before the answer"
            kind = ErrorKind.TARGET_FAILED
            raise RequestError.of(kind, text, Ran.UNKNOWN) from None

    async def _read(self, answer: aiohttp.ClientResponse) -> Outcome:
        body = await read_bounded(answer)
        if answer.status >= 400 and read_ran(body) is Ran.NO:
            text = f"the target refused with {answer.status}"
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.NO)
        if answer.status in UNAVAILABLE and self._call.idempotent:
            text = f"the target answered {answer.status}"
            kind = ErrorKind.TARGET_FAILED
            raise RequestError.of(kind, text, Ran.UNKNOWN)
        if not is_framed(answer):
            text = "the target's answer may have been cut: it has no length"
            kind = ErrorKind.TARGET_FAILED
            raise RequestError.of(kind, text, Ran.UNKNOWN)
        headers = copy_headers(answer.headers)
        return Outcome(ClaimState.DONE, answer.status, headers, body)


async def read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    """Read a target's answer.

    :param answer: the open answer
    :returns: its body
    :raises RequestError: ``target_failed`` when it is too large; it ran
    """
    parts = []
    size = 0
    async for data in answer.content.iter_any():
        size += len(data)
        if size > MAX_ANSWER:
            answer.close()
            text = f"the target's answer has more than {MAX_ANSWER} bytes"
            raise RequestError.of(ErrorKind.TARGET_FAILED, text, Ran.YES)
        parts.append(data)
    return b"".join(parts)


def copy_headers(
    headers: multidict.CIMultiDictProxy,
) -> tuple[tuple[str, str], ...]:
    """Keep the headers that belong to the answer, not to the connection.

    :param headers: as the target sent them
    :returns: name and value of those to pass on
    """
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    )
