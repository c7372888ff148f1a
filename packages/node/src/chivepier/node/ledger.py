"""Claims of non-idempotent requests, on the entry's side."""

import asyncio
import hashlib

import attrs
import cbor2
from result import Err

from chivepier.messages import ClaimCommand
from chivepier.messages import ClaimState
from chivepier.messages import encode
from chivepier.messages import Outcome
from chivepier.messages import OutcomeCommand
from chivepier.node.background import Background
from chivepier.node.cluster import Cluster
from chivepier.node.commander import Commander
from chivepier.state import Answer
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

CLAIM_SECONDS = 5.0
SETTLE_SECONDS = 10.0
SETTLE_WAIT_SECONDS = 2.0
MAX_OPEN = 1000
MAX_KEY = 128
MAX_BODY = 64 << 10

RELEASED = Outcome(ClaimState.RELEASED, 0, (), b"")
UNKNOWN = Outcome(ClaimState.UNKNOWN, 0, (), b"")


@attrs.frozen
class Ticket:
    """The right to dispatch a request once."""

    team: str
    key: str
    request: str


class Ledger:
    """Claims a key on a majority's disks before its request is dispatched.

    Whatever dies after the claim, a resend finds it: it gets the outcome, or
    hears that the request is in progress or may have run.
    """

    def __init__(
        self, cluster: Cluster, commander: Commander, background: Background
    ):
        self._cluster = cluster
        self._commander = commander
        self._background = background
        self._open = 0

    async def claim(
        self, team: str, key: str, request: str, digest: bytes
    ) -> Ticket | Outcome:
        """Claim a key.

        :param team: the caller's team; others' keys are other keys
        :param key: the caller's ``Idempotency-Key``
        :param request: names this attempt; never used again
        :param digest: of the request, see :func:`digest_request`
        :returns: a ticket, or the outcome stored under the key
        :raises RequestError: ``key_reused``, ``in_progress``,
            ``outcome_unknown``, ``overloaded`` or ``no_quorum``
        """
        if self._open >= MAX_OPEN:
            text = "too many claims wait for the voters' majority"
            raise RequestError.of(ErrorKind.OVERLOADED, text)
        cluster = self._cluster
        command = ClaimCommand(
            team,
            key,
            digest,
            request,
            cluster.identity.node,
            cluster.incarnation,
            int(cluster.clock.now().timestamp()),
        )
        ticket = Ticket(team, key, request)
        task = self._background.spawn(self._run(command, ticket))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # the caller left: nobody will dispatch under this claim, and a
            # resend would hear "in progress" for as long as this node lives
            self._background.spawn(self._release_unused(task))
            raise

    async def _run(
        self, command: ClaimCommand, ticket: Ticket
    ) -> Ticket | Outcome:
        done = await self._commander.run(encode(command), CLAIM_SECONDS)
        if isinstance(done, Err):
            if done.err_value.ran is not Ran.NO:
                self._background.spawn(self._withdraw(command, ticket))
            text = "the claim isn't durable; the request was not dispatched"
            raise RequestError.of(ErrorKind.NO_QUORUM, text)
        return _read_answer(done.ok_value, ticket)

    async def _release_unused(self, task: asyncio.Task) -> None:
        await asyncio.wait({task})
        if task.exception() is None and isinstance(task.result(), Ticket):
            await self._insist(_end(task.result(), RELEASED))

    async def _withdraw(self, command: ClaimCommand, ticket: Ticket) -> None:
        # the claim may be committed later than it was given up: find out,
        # then release it, or the key would stay in progress
        if await self._insist(encode(command)):
            await self._insist(_end(ticket, RELEASED))

    async def settle(self, ticket: Ticket, outcome: Outcome) -> None:
        """Store how the request ended; returns once it is durable.

        With no majority for some seconds it returns too, and storing goes
        on: the caller's answer exists and is not held back any longer.

        :param ticket: from :meth:`claim`
        :param outcome: what a resend is to get
        """
        if len(outcome.body) > MAX_BODY:
            outcome = Outcome(outcome.state, 0, (), b"")
        work = self._insist(_end(ticket, outcome))
        task = self._background.spawn(work)
        await asyncio.wait({task}, timeout=SETTLE_WAIT_SECONDS)

    async def _insist(self, command: bytes) -> bool:
        self._open += 1
        try:
            done = await self._commander.run(command, SETTLE_SECONDS)
            while isinstance(done, Err) and not self._cluster.draining:
                done = await self._commander.run(command, SETTLE_SECONDS)
        finally:
            self._open -= 1
        # an instance that stops without a majority leaves the claim behind;
        # a resend is told that its outcome is unknown
        return not isinstance(done, Err) and not done.ok_value.error


def _end(ticket: Ticket, outcome: Outcome) -> bytes:
    command = OutcomeCommand(ticket.team, ticket.key, ticket.request, outcome)
    return encode(command)


def _read_answer(answer: Answer, ticket: Ticket) -> Ticket | Outcome:
    if answer.error:
        kind = ErrorKind(answer.error)
        maybe = (ErrorKind.IN_PROGRESS, ErrorKind.OUTCOME_UNKNOWN)
        ran = Ran.UNKNOWN if kind in maybe else Ran.NO
        raise RequestError.of(kind, answer.message, ran)
    if not answer.result:
        return ticket
    state, status, headers, body = cbor2.loads(answer.result)
    if not status:
        text = "the request ran; its answer is not kept"
        raise RequestError.of(ErrorKind.OUTCOME_UNKNOWN, text, Ran.YES)
    pairs = tuple((name, value) for name, value in headers)
    return Outcome(state, status, pairs, body)


def read_key(text: str | None) -> str | None:
    """Check an ``Idempotency-Key``.

    >>> read_key("write-17")
    'write-17'

    :param text: the header's value; ``None`` when there is none
    :returns: the key
    :raises RequestError: ``bad_request``
    """
    if text is None:
        return None
    if not 0 < len(text) <= MAX_KEY or not text.isascii():
        message = f"Idempotency-Key is not 1 to {MAX_KEY} ASCII characters"
        raise RequestError.of(ErrorKind.BAD_REQUEST, message)
    if not text.isprintable():
        message = "Idempotency-Key holds a control character"
        raise RequestError.of(ErrorKind.BAD_REQUEST, message)
    return text


def digest_request(*parts: str | bytes) -> bytes:
    """Hash a request, so that its key can't be used for another.

    >>> digest_request("a", "bc") == digest_request("ab", "c")
    False

    :param parts: method, names, query and body
    :returns: 32 bytes
    """
    digest = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.digest()
