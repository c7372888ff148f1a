"""The operators' interface for voters: repair and forced recovery."""

import asyncio
import secrets

from aiohttp import web
import attrs

from chivepier.messages import EnrolRequest
from chivepier.messages import IdentityRequest
from chivepier.messages import LogAnswer
from chivepier.messages import LogRequest
from chivepier.messages import Voter
from chivepier.messages import VotersAnswer
from chivepier.messages import VotersRequest
from chivepier.node.bodies import read_json
from chivepier.node.cluster import Cluster
from chivepier.node.targets import check_bearer
from chivepier.state import Identity
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError
from chivepier.state import save_identity
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.wire import LinkError
from chivepier.wire import RefusedError

ASK_SECONDS = 2.0
CHANGE_SECONDS = 60.0
PAUSE_SECONDS = 0.2
PATH = "/v1/operator/voters"
MAY_BE_LOST = (
    "changes, claims and outcomes that were accepted after the last index"
    " kept here, by a majority that did not include this voter; a request"
    " claimed there may run again if its key is sent again"
)


class Voters:
    """Adds and removes voters through the leader, and forces a recovery."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster

    def add_routes(self, app: web.Application) -> None:
        """Register the paths.

        :param app: the node's application
        """
        app.router.add_get(PATH, self.show)
        app.router.add_post(PATH, self.change)

    def _check(self, request: web.Request) -> None:
        check_bearer(request, self._cluster.settings.operator_key)

    async def show(self, request: web.Request) -> web.Response:
        """Answer ``GET voters``: what each holds, and whether all is well."""
        self._check(request)
        answer = await self._ask_leader(VotersRequest("list", "", ""))
        return render(answer)

    async def change(self, request: web.Request) -> web.Response:
        """Answer ``POST voters``: ``add``, ``remove`` or ``force``."""
        self._check(request)
        body = await read_json(request)
        if not isinstance(body, dict):
            raise _bad("the body is not an object")
        match body.get("action"):
            case "add":
                message = VotersRequest("add", _text(body, "peer"), "")
            case "remove":
                message = VotersRequest("remove", "", _text(body, "node"))
            case "force":
                return await self._force(body)
            case _:
                raise _bad("action is not add, remove or force")
        return render(await self._ask_leader(message))

    async def _ask_leader(self, message: VotersRequest) -> VotersAnswer:
        """Ask whoever leads; each action may be asked again."""
        cluster = self._cluster
        deadline = cluster.clock.monotonic() + CHANGE_SECONDS
        while (left := deadline - cluster.clock.monotonic()) > 0:
            answer = await self._attempt(message, left)
            if answer is not None:
                if answer.error:
                    kind = ErrorKind(answer.error)
                    raise RequestError.of(kind, answer.message)
                return answer
            await cluster.clock.sleep(PAUSE_SECONDS)
        text = "no voters' majority took the change in time"
        raise RequestError.of(ErrorKind.NO_QUORUM, text)

    async def _attempt(
        self, message: VotersRequest, left: float
    ) -> VotersAnswer | None:
        cluster = self._cluster
        if cluster.replica is not None and cluster.replica.leads():
            answer = await self.handle(message)
        else:
            leader = cluster.find_leader()
            if not leader:
                return None
            try:
                answer = await cluster.links.request(leader, message, left)
            except LinkError:
                return None
        retry = ErrorKind.NOT_READY.value
        return None if answer.error == retry else answer

    async def handle(self, message: VotersRequest) -> VotersAnswer:
        """Do what a node asks of the leader.

        :param message: the action
        :returns: the voters; ``not_ready`` when this isn't the leader
        """
        try:
            async with asyncio.timeout(CHANGE_SECONDS / 2):
                await self._act(message)
            changes = self._cluster.replica.changes
            return VotersAnswer("", "", changes.repaired(), changes.report())
        except RequestError as error:
            failure = error.failure
            return VotersAnswer(failure.kind.value, failure.message, False, ())
        except (NotLeaderError, LostLeadError) as error:
            retry = ErrorKind.NOT_READY.value
            return VotersAnswer(retry, str(error), False, ())
        except TimeoutError:
            text = "the voters did not take it in time; ask again"
            return VotersAnswer(ErrorKind.TIMEOUT.value, text, False, ())

    async def _act(self, message: VotersRequest) -> None:
        replica = self._cluster.replica
        if replica is None:
            raise NotLeaderError("")
        match message.action:
            case "add":
                voter = await self._enrol(message.peer)
                await replica.changes.add(voter)
                await replica.changes.settle()
            case "remove":
                await replica.changes.remove(message.node)
                await replica.changes.settle()
            case "list":
                replica.changes.report()
            case other:
                raise _bad(f"unknown action {other!r}")

    async def _enrol(self, peer: str) -> Voter:
        """Let an instance with a new folder take entries."""
        cluster = self._cluster
        identity = await self._ask(peer, IdentityRequest())
        request = EnrolRequest(cluster.identity.cluster, identity.node)
        answer = await self._ask(peer, request)
        if not answer.accepted:
            text = f"{peer}: {answer.message}"
            raise RequestError.of(ErrorKind.VERSION_CONFLICT, text)
        return Voter(identity.node, peer)

    async def _ask(self, peer: str, message):
        try:
            return await self._cluster.links.request(
                peer, message, ASK_SECONDS
            )
        except LinkError as error:
            raise RequestError.of(ErrorKind.NO_TARGET, str(error)) from None

    async def _force(self, body: dict) -> web.Response:
        """Make this instance's voter the only one, at an operator's word."""
        replica = self._cluster.replica
        if replica is None or replica.error is not None:
            raise _bad("this instance holds no voter's log")
        if replica.refusal is not None:
            raise _bad(f"its disk refuses writes: {replica.refusal!r}")
        if body.get("accept_loss") is not True:
            raise _bad(f"accept_loss is not true; it may lose {MAY_BE_LOST}")
        gone = await self._check_survivors()
        if set(body.get("gone", ())) != gone:
            text = f"gone must name the voters that are: {sorted(gone)}"
            raise _bad(text)
        cluster = self._cluster
        name = secrets.token_hex(8)
        kept = await replica.changes.force(
            cluster.peer_address, name, gone, self._rename
        )
        return web.json_response(
            {
                "node": cluster.identity.node,
                "cluster": name,
                "kept": kept,
                "may_be_lost": MAY_BE_LOST,
            }
        )

    async def _rename(self, name: str) -> None:
        cluster = self._cluster
        identity = Identity(cluster.identity.node, name)
        folder = cluster.settings.data_dir
        await asyncio.to_thread(save_identity, folder, identity)
        cluster.identity = identity

    async def _check_survivors(self) -> frozenset[str]:
        """Return the voters that don't answer, a majority of all."""
        replica = self._cluster.replica
        others = [v for v in replica.voters if v.node != replica.node]
        answers = await asyncio.gather(*(self._ask_log(v) for v in others))
        alive = [answer for answer in answers if answer is not None]
        if 2 * (len(alive) + 1) > len(replica.voters):
            text = "a majority of the voters answers: nothing to recover"
            raise RequestError.of(ErrorKind.VERSION_CONFLICT, text)
        storage = replica.storage
        mine = (storage.last_term, storage.last_index)
        for answer in alive:
            if (answer.last_term, answer.last_index) > mine:
                text = f"{answer.node} holds more: recover there"
                raise RequestError.of(ErrorKind.VERSION_CONFLICT, text)
        if not replica.votes():
            raise _bad("this instance has no vote")
        answering = {answer.node for answer in alive}
        return frozenset(v.node for v in others if v.node not in answering)

    async def _ask_log(self, voter: Voter) -> LogAnswer | None:
        request = LogRequest(self._cluster.identity.cluster)
        try:
            answer = await self._cluster.links.request(
                voter.address, request, ASK_SECONDS
            )
        except LinkError:
            return None
        # an instance with a new folder answers at a lost voter's address
        return answer if answer.node == voter.node else None

    def handle_log(self, request: LogRequest) -> LogAnswer:
        """Tell how far this voter's log reaches.

        :param request: the asker's cluster
        :returns: last term and index
        :raises RefusedError: when this is no voter of that cluster
        """
        replica = self._cluster.replica
        if replica is None or request.cluster != replica.cluster:
            raise RefusedError("no voter of that cluster")
        storage = replica.storage
        return LogAnswer(
            replica.node,
            storage.last_term,
            storage.last_index,
            replica.leader,
        )


def render(answer: VotersAnswer) -> web.Response:
    """Build the JSON answer.

    :param answer: what the leader said
    :returns: the response
    """
    return web.json_response(
        {
            "repaired": answer.repaired,
            "voters": [attrs.asdict(voter) for voter in answer.voters],
        }
    )


def _text(body: dict, field: str) -> str:
    value = body.get(field)
    if not isinstance(value, str) or not value:
        raise _bad(f"{field} is missing")
    return value


def _bad(message: str) -> RequestError:
    return RequestError.of(ErrorKind.BAD_REQUEST, message)
