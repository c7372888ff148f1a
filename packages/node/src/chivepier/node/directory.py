"""The configuration as requests use it."""

import collections.abc
import hashlib
import hmac

import attrs

from chivepier.documents import Grant
from chivepier.documents import plain_spec
from chivepier.documents import Team
from chivepier.documents import Template
from chivepier.documents import unpack_spec
from chivepier.membership import find_shard
from chivepier.messages import Announcement
from chivepier.state import Machine
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.types import Urgency

CACHED = 4096
INDEXED = 16


@attrs.frozen(kw_only=True)
class Service:
    """A template as one team may use it."""

    team: str
    weight: float
    template_name: str
    template: Template
    urgency: Urgency
    max_output_tokens: int
    adapters: tuple[str, ...]


class Directory:
    """Finds teams by key and templates by name, decoding on use.

    The documents stay packed in the machine; what was decoded is kept in a
    bounded cache and dropped when the configuration changes.
    """

    def __init__(self, machine: Machine):
        self._machine = machine
        self._version = -1
        self._teams_by_key: dict[bytes, str] = {}
        self._most_keys = CACHED
        self._decoded: dict[tuple[str, str], Team | Template] = {}
        self._templates: set[str] = set()
        self._shards: dict[str, int] | None = None

    def _refresh(self) -> None:
        if self._version == self._machine.version:
            return
        changed = None
        crowded = len(self._teams_by_key) > self._most_keys
        if self._version >= 0 and not crowded:
            changed = self._machine.changed_since(self._version)
        if changed is None:
            changed = set(self._machine.documents)
            self._decoded.clear()
            self._teams_by_key.clear()
            self._templates.clear()
            self._shards = None
        for kind, name in changed:
            self._decoded.pop((kind, name), None)
            if kind == "team":
                self._index_keys(name)
            else:
                self._note_template(name)
        if crowded or self._version < 0:
            self._most_keys = 2 * len(self._teams_by_key) + CACHED
        self._version = self._machine.version

    def _note_template(self, name: str) -> None:
        # apart from the teams, which are many: requests ask for them
        self._shards = None
        if ("template", name) in self._machine.documents:
            self._templates.add(name)
        else:
            self._templates.discard(name)

    def _index_keys(self, name: str) -> None:
        # keys that a team no longer has stay until the next whole reading;
        # they name a team whose document, checked on use, lacks them
        document = self._machine.documents.get(("team", name))
        if document is None:
            return
        for digest in plain_spec(document)["key_sha256"]:
            self._teams_by_key[bytes.fromhex(digest)[:INDEXED]] = name

    def _load(self, kind: str, name: str) -> Team | Template | None:
        key = (kind, name)
        spec = self._decoded.get(key)
        if spec is None:
            document = self._machine.documents.get(key)
            if document is None:
                return None
            spec = unpack_spec(document)
            if len(self._decoded) >= CACHED:
                self._decoded.clear()
            self._decoded[key] = spec
        return spec

    def find_team(self, authorization: str) -> str:
        """Return the team that a bearer key names.

        :param authorization: the header's value
        :returns: the team's name
        :raises RequestError: ``unauthorized``
        """
        self._refresh()
        scheme, _, key = authorization.partition(" ")
        digest = hashlib.sha256(key.encode())
        name = self._teams_by_key.get(digest.digest()[:INDEXED])
        if scheme.lower() == "bearer" and name is not None:
            spec = self._load("team", name)
            given = digest.hexdigest()
            held = spec.key_sha256 if spec is not None else ()
            if any(hmac.compare_digest(given, d.lower()) for d in held):
                return name
        raise RequestError.of(ErrorKind.UNAUTHORIZED, "unknown bearer key")

    def find_key_team(self, digest: str) -> str:
        """Return the team that has a key, empty for none.

        :param digest: 64 hexadecimal digits in lower case
        """
        self._refresh()
        name = self._teams_by_key.get(bytes.fromhex(digest)[:INDEXED], "")
        spec = self._load("team", name)
        held = spec.key_sha256 if spec is not None else ()
        return name if digest in (d.lower() for d in held) else ""

    def teams(self) -> collections.abc.Iterator[tuple[str, Team]]:
        """Return all teams by name, one decoded at a time."""
        self._refresh()
        for kind, name in list(self._machine.documents):
            if kind == "team":
                yield name, self._load(kind, name)

    def find_service(self, team: str, template_name: str) -> Service:
        """Return a template with a team's parameters filled in.

        :param team: the team's name
        :param template_name: what the caller asks for
        :returns: the template as this team may use it
        :raises RequestError: ``forbidden`` or ``not_found``
        """
        self._refresh()
        parameters = self._load("team", team)
        grant = parameters.grants.get(template_name)
        if grant is None:
            # the same answer whether or not another team has such a template
            text = f"team {team} has no template {template_name!r}"
            raise RequestError.of(ErrorKind.FORBIDDEN, text)
        template = self._load("template", template_name)
        if template is None:
            text = f"no template {template_name!r}"
            raise RequestError.of(ErrorKind.NOT_FOUND, text)
        return _fill_in(team, parameters, template_name, template, grant)

    def find_template(self, name: str) -> Template | None:
        """Return a template by name, or ``None``."""
        self._refresh()
        return self._load("template", name)

    def templates(self) -> dict[str, Template]:
        """Return all templates by name."""
        self._refresh()
        return {
            name: self._load("template", name)
            for name in sorted(self._templates)
        }

    def team_weight(self, team: str) -> float:
        """Return a team's share weight; 1 for a team that was removed."""
        self._refresh()
        spec = self._load("team", team)
        return spec.weight if spec is not None else 1.0

    def pool_shards(self, pool: str) -> int:
        """Return into how many shards a pool is split, 0 if unknown."""
        self._refresh()
        if self._shards is None:
            self._shards = {}
            for template in self.templates().values():
                most = self._shards.get(template.pool, 0)
                self._shards[template.pool] = max(most, template.shards)
        return self._shards.get(pool, 0)

    def find_shard(self, announcement: Announcement) -> int:
        """Return the number of the shard that a target belongs to.

        :param announcement: what the target said
        """
        shards = max(1, self.pool_shards(announcement.pool))
        return find_shard(announcement.target, shards)


def _fill_in(
    team: str,
    parameters: Team,
    name: str,
    template: Template,
    grant: Grant,
) -> Service:
    urgency = template.urgency if grant.urgency is None else grant.urgency
    limit = template.max_output_tokens
    if grant.max_output_tokens is not None:
        limit = min(limit, grant.max_output_tokens)
    allowed = set(template.adapters)
    return Service(
        team=team,
        weight=parameters.weight if grant.share is None else grant.share,
        template_name=name,
        template=template,
        urgency=urgency,
        max_output_tokens=limit,
        adapters=tuple(a for a in grant.adapters if a in allowed),
    )
