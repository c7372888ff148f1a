"""The interface of operators."""

from aiohttp import web
import attrs
import cbor2
from result import Err

from chivepier.documents import Document
from chivepier.documents import pack_spec
from chivepier.documents import parse_spec
from chivepier.documents import plain_spec
from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.node.bodies import read_json
from chivepier.node.changecheck import check_change
from chivepier.node.entry import Entry
from chivepier.node.founding import found_cluster
from chivepier.node.targets import check_bearer
from chivepier.state import Answer
from chivepier.types import ErrorKind
from chivepier.types import RequestError

CHANGE_SECONDS = 13.0
MAX_EDITS = 1000
MAX_NAME = 128
MAX_VERSION = (1 << 63) - 1


class Operators:
    """Changes, reads, status and the founding of the cluster."""

    def __init__(self, entry: Entry, node):
        self._entry = entry
        self._node = node

    def add_routes(self, app: web.Application) -> None:
        """Register the paths.

        :param app: the node's application
        """
        base = "/v1/operator"
        app.router.add_post(f"{base}/changes", self.change)
        app.router.add_get(f"{base}/documents", self.list_documents)
        app.router.add_get(
            f"{base}/documents/{{kind}}/{{name}}", self.get_document
        )
        app.router.add_get(f"{base}/history", self.list_history)
        app.router.add_get(f"{base}/status", self.status)
        app.router.add_post(f"{base}/found", self.found)
        app.router.add_post(f"{base}/drain", self.drain)

    def _check(self, request: web.Request) -> None:
        check_bearer(request, self._entry.cluster.settings.operator_key)

    async def change(self, request: web.Request) -> web.Response:
        """Answer ``POST changes``: accepted means in force everywhere."""
        self._check(request)
        command = parse_change(await read_json(request))
        if command.change_id not in self._entry.cluster.machine.answers:
            # a resend gets its first answer, whatever changed since then
            check_change(command, self._entry.directory)
        done = await self._entry.commander.run(
            encode(command), CHANGE_SECONDS, wait_in_force=True
        )
        if isinstance(done, Err):
            raise RequestError(done.err_value)
        answer: Answer = done.ok_value
        if answer.error:
            raise RequestError.of(ErrorKind(answer.error), answer.message)
        return web.json_response(
            {"version": answer.index, "versions": cbor2.loads(answer.result)}
        )

    async def list_documents(self, request: web.Request) -> web.Response:
        """Answer ``GET documents``."""
        self._check(request)
        kind = request.query.get("kind")
        documents = self._entry.cluster.machine.documents
        chosen = [d for d in documents.values() if kind in (None, d.kind)]
        return web.json_response(
            {"documents": [render_document(d) for d in chosen]}
        )

    async def get_document(self, request: web.Request) -> web.Response:
        """Answer ``GET documents/{kind}/{name}``."""
        self._check(request)
        key = (request.match_info["kind"], request.match_info["name"])
        document = self._entry.cluster.machine.documents.get(key)
        if document is None:
            text = f"no {key[0]} {key[1]!r}"
            raise RequestError.of(ErrorKind.NOT_FOUND, text)
        return web.json_response(render_document(document))

    async def list_history(self, request: web.Request) -> web.Response:
        """Answer ``GET history``."""
        self._check(request)
        kind, name = request.query.get("kind"), request.query.get("name")
        items = [
            attrs.asdict(item, filter=lambda a, _: a.name != "removed")
            for item in self._entry.cluster.machine.history
            if kind in (None, item.kind) and name in (None, item.name)
        ]
        return web.json_response({"history": items})

    async def status(self, request: web.Request) -> web.Response:
        """Answer ``GET status``."""
        self._check(request)
        cluster = self._entry.cluster
        targets = await self._entry.permits.list_targets()
        return web.json_response(
            {
                "instance": cluster.settings.name,
                "ready": cluster.ready(),
                "leader": cluster.find_leader(),
                "version": cluster.machine.version,
                "in_force": cluster.in_force,
                "members": [
                    attrs.asdict(m) for m in cluster.machine.members.values()
                ],
                "voters": [attrs.asdict(v) for v in cluster.machine.voters],
                "targets": [attrs.asdict(t) for t in targets],
            }
        )

    async def found(self, request: web.Request) -> web.Response:
        """Answer ``POST found``: start a new cluster, once."""
        self._check(request)
        body = await read_json(request)
        peers = body.get("peers") if isinstance(body, dict) else None
        if not isinstance(peers, list) or not peers:
            text = "peers is not a list of peer addresses"
            raise RequestError.of(ErrorKind.BAD_REQUEST, text)
        voters = await found_cluster(self._entry.cluster, peers)
        return web.json_response({"voters": [attrs.asdict(v) for v in voters]})

    async def drain(self, request: web.Request) -> web.Response:
        """Answer ``POST drain``: this instance leaves gracefully."""
        self._check(request)
        self._node.start_drain()
        return web.json_response({"draining": True})


def parse_change(plain: object) -> ChangeCommand:
    """Check an operator's change.

    :param plain: the parsed JSON
    :returns: the command
    :raises RequestError: ``bad_request``
    """
    if not isinstance(plain, dict):
        raise _bad("the change is not an object")
    change_id, operator = plain.get("change_id"), plain.get("operator", "")
    edits = plain.get("edits")
    if not isinstance(change_id, str) or not change_id:
        raise _bad("change_id is missing")
    if not isinstance(operator, str):
        raise _bad("operator is not a string")
    if max(len(change_id), len(operator)) > MAX_NAME:
        raise _bad(f"change_id or operator is longer than {MAX_NAME}")
    if not isinstance(edits, list) or not 0 < len(edits) <= MAX_EDITS:
        raise _bad(f"edits is not a list of 1 to {MAX_EDITS}")
    checked = tuple(_parse_edit(edit) for edit in edits)
    return ChangeCommand(change_id, operator, checked)


def _parse_edit(plain: object) -> Edit:
    if not isinstance(plain, dict):
        raise _bad("an edit is not an object")
    kind, name = plain.get("kind"), plain.get("name")
    base = plain.get("base_version", 0)
    if not isinstance(name, str) or not name:
        raise _bad("name is missing")
    if kind not in ("template", "team"):
        raise _bad(f"unknown kind {str(kind)[:80]!r}")
    if type(base) is not int or not 0 <= base <= MAX_VERSION:
        raise _bad("base_version is not a version")
    if plain.get("spec") is None:
        return Edit(str(kind), name, base, None)
    parsed = parse_spec(str(kind), plain["spec"])
    if isinstance(parsed, Err):
        raise RequestError(parsed.err_value)
    return Edit(str(kind), name, base, pack_spec(parsed.ok_value))


def render_document(document: Document) -> dict:
    """Build a document's JSON form.

    :param document: the stored document
    :returns: kind, name, version and spec
    """
    return {
        "kind": document.kind,
        "name": document.name,
        "version": document.version,
        "spec": plain_spec(document),
    }


def _bad(message: str) -> RequestError:
    return RequestError.of(ErrorKind.BAD_REQUEST, message)
