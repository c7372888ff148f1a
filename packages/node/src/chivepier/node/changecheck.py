"""Checking a change among the documents that stand."""

from chivepier.documents import Team
from chivepier.documents import Template
from chivepier.documents import unpack_plain
from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.node.directory import Directory
from chivepier.node.validation import check_name
from chivepier.node.validation import check_team
from chivepier.node.validation import check_template
from chivepier.node.validation import Surroundings
from chivepier.types import ErrorKind
from chivepier.types import RequestError

Key = tuple[str, str]


def check_change(command: ChangeCommand, directory: Directory) -> None:
    """Check that the documents make sense with the change.

    All edits are checked before any is proposed, and the log applies all or
    none: nothing is half applied.

    :param command: a change whose documents have the right form
    :param directory: the documents that stand
    :raises RequestError: ``bad_request``, in one line
    """
    specs = {(e.kind, e.name): _unpack(e) for e in command.edits}
    if len(specs) < len(command.edits):
        text = "a document is edited twice"
        raise RequestError.of(ErrorKind.BAD_REQUEST, text)
    others = _Others(specs, directory)
    around = Surroundings(others.find_template, others.find_owner)
    for (kind, name), spec in specs.items():
        check_name(kind, name)
        match spec:
            case Template():
                check_template(name, spec)
                others.check_pool(name, spec)
            case Team():
                check_team(name, spec, around)
            case None if kind == "template":
                others.check_removal(name)


class _Others:
    """The documents as they will be."""

    def __init__(self, specs: dict[Key, Team | Template | None], directory):
        self._specs = specs
        self._directory = directory
        self._keys: dict[str, str] = {}
        for (_, name), spec in specs.items():
            if isinstance(spec, Team):
                for digest in spec.key_sha256:
                    self._keys.setdefault(digest.lower(), name)

    def find_template(self, name: str) -> Template | None:
        key = ("template", name)
        if key in self._specs:
            return self._specs[key]
        return self._directory.find_template(name)

    def find_owner(self, digest: str) -> str:
        """Return the team that will have a key, empty for none."""
        if digest in self._keys:
            first = self._keys[digest]
            owner = self._directory.find_key_team(digest)
            kept = owner and ("team", owner) not in self._specs
            return owner if kept else first
        owner = self._directory.find_key_team(digest)
        return "" if ("team", owner) in self._specs else owner

    def check_pool(self, name: str, spec: Template) -> None:
        """One pool holds targets of one kind."""
        for other, template in self._templates():
            if other != name and template.pool == spec.pool:
                if template.kind is not spec.kind:
                    text = f"template/{name}: pool {spec.pool!r} is of"
                    text += f" kind {template.kind.value}"
                    raise RequestError.of(ErrorKind.BAD_REQUEST, text)

    def _templates(self):
        names = set(self._directory.templates())
        names |= {name for kind, name in self._specs if kind == "template"}
        for name in sorted(names):
            template = self.find_template(name)
            if template is not None:
                yield name, template

    def check_removal(self, name: str) -> None:
        """A template goes only when no team is left with a grant of it."""
        teams = dict(self._directory.teams())
        for (kind, team), spec in self._specs.items():
            if kind == "team":
                teams[team] = spec
        for team, spec in teams.items():
            if spec is not None and name in spec.grants:
                text = f"template/{name} is granted to team {team!r}"
                raise RequestError.of(ErrorKind.BAD_REQUEST, text)


def _unpack(edit: Edit) -> Team | Template | None:
    if edit.spec is None:
        return None
    return unpack_plain(edit.kind, edit.spec)
