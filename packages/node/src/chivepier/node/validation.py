"""What a document must say to make sense."""

import collections.abc
import math
import re

import attrs

from chivepier.documents import Grant
from chivepier.documents import RouteRule
from chivepier.documents import Team
from chivepier.documents import Template
from chivepier.types import ErrorKind
from chivepier.types import RequestError
from chivepier.types import TargetKind

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MODEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")
VERSION = re.compile(r"[A-Za-z0-9._-]{0,64}")
DIGEST = re.compile(r"[0-9A-Fa-f]{64}")
METHODS = frozenset(
    ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
)
MAX_SHARDS = 64
MAX_TARGETS = 10_000
MAX_QUEUE = 100_000
MAX_TOKENS = 1_000_000
MAX_WEIGHT = 1e6
MAX_KEYS = 16
MAX_LIST = 1000


@attrs.frozen
class Surroundings:
    """The other documents, as they will be with the change.

    ``find_template`` returns a template by name or ``None``; ``find_owner``
    the team that has a key's digest, empty for none.
    """

    find_template: collections.abc.Callable[[str], Template | None]
    find_owner: collections.abc.Callable[[str], str]


def check_name(kind: str, name: str) -> None:
    """Check a document's name.

    >>> check_name("team", "advisers-1")

    :param kind: ``template`` or ``team``
    :param name: what the operator calls it
    :raises RequestError: ``bad_request``, in one line
    """
    _require(
        NAME.fullmatch(name) is not None,
        f"{kind} name {name[:80]!r} is not 1 to 64 of A-Z a-z 0-9 . _ -",
    )


def check_template(name: str, spec: Template) -> None:
    """Check a template by itself.

    :param name: its name
    :param spec: what the operator wrote
    :raises RequestError: ``bad_request``, in one line
    """
    where = f"template/{name}"
    check_name("pool", spec.pool)
    _range(where, "shards", spec.shards, MAX_SHARDS)
    _range(where, "min_targets", spec.min_targets, MAX_TARGETS)
    _range(where, "queue_limit", spec.queue_limit, MAX_QUEUE)
    _range(where, "max_output_tokens", spec.max_output_tokens, MAX_TOKENS)
    if spec.kind is TargetKind.ENGINE:
        valid = MODEL.fullmatch(spec.model) is not None
        _require(valid, f"{where}: model {spec.model[:80]!r} is not a name")
    else:
        nothing = not spec.model and not spec.adapters
        _require(nothing, f"{where}: a service has no model or adapters")
    valid = VERSION.fullmatch(spec.model_version) is not None
    _require(valid, f"{where}: model_version is not a version")
    _require(len(spec.adapters) <= MAX_LIST, f"{where}: too many adapters")
    for adapter in spec.adapters:
        valid = NAME.fullmatch(adapter) is not None
        _require(valid, f"{where}: adapter {adapter[:80]!r} is not a name")
    _require(len(spec.routes) <= MAX_LIST, f"{where}: too many routes")
    for rule in spec.routes:
        _check_route(where, rule)


def _check_route(where: str, rule: RouteRule) -> None:
    _require(
        rule.path.startswith("/"),
        f"{where}: route path {rule.path[:80]!r} does not start with /",
    )
    unknown = sorted(set(rule.methods) - METHODS)
    _require(not unknown, f"{where}: unknown methods {unknown[:5]}")


def check_team(name: str, spec: Team, others: Surroundings) -> None:
    """Check a team's parameters among the other documents.

    :param name: the team's name
    :param spec: what the operator wrote
    :param others: the other documents
    :raises RequestError: ``bad_request``, in one line
    """
    where = f"team/{name}"
    _positive(where, "weight", spec.weight)
    for digest in spec.key_sha256:
        valid = DIGEST.fullmatch(digest) is not None
        text = "key_sha256 is not a list of 64 hexadecimal digits each"
        _require(valid, f"{where}: {text}")
        owner = others.find_owner(digest.lower())
        _require(owner in ("", name), f"{where}: a key is another team's")
    few = len(spec.key_sha256) <= MAX_KEYS
    _require(few, f"{where}: more than {MAX_KEYS} keys")
    _require(len(spec.grants) <= MAX_LIST, f"{where}: too many grants")
    for template, grant in spec.grants.items():
        _check_grant(where, template, grant, others)


def _check_grant(
    where: str, name: str, grant: Grant, others: Surroundings
) -> None:
    template = others.find_template(name)
    text = f"{where}: grant of template {name[:80]!r}, which does not exist"
    _require(template is not None, text)
    where = f"{where} grant {name}"
    if grant.share is not None:
        _positive(where, "share", grant.share)
    if grant.max_output_tokens is not None:
        limit = grant.max_output_tokens
        _range(where, "max_output_tokens", limit, MAX_TOKENS)
    unknown = sorted(set(grant.adapters) - set(template.adapters))
    _require(not unknown, f"{where}: adapters {unknown[:5]} aren't its own")


def _range(where: str, field: str, value: int, most: int) -> None:
    valid = 1 <= value <= most
    _require(valid, f"{where}: {field} is not in 1..{most}")


def _positive(where: str, field: str, value: float) -> None:
    valid = math.isfinite(value) and 0 < value <= MAX_WEIGHT
    _require(valid, f"{where}: {field} is not above 0 and finite")


def _require(valid: bool, message: str) -> None:
    if not valid:
        raise RequestError.of(ErrorKind.BAD_REQUEST, message)
