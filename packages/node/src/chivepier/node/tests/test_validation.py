"""Changes that make no sense are refused whole, in one line."""

import hashlib

import pytest

from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.node.changecheck import check_change
from chivepier.node.directory import Directory
from chivepier.node.operators import parse_change
from chivepier.state import Machine
from chivepier.types import ErrorKind
from chivepier.types import RequestError

KEY = hashlib.sha256(b"k").hexdigest()
OTHER = hashlib.sha256(b"o").hexdigest()


def edit(kind, name, spec):
    return {"kind": kind, "name": name, "spec": spec}


def template(name="drafting", **spec):
    return edit("template", name, {"pool": "p", "model": "m", **spec})


def team(name="advisers", grants=("drafting",), **spec):
    fields = {"key_sha256": [KEY], **spec}
    if not isinstance(grants, dict):
        grants = {grant: {} for grant in grants}
    return edit("team", name, {**fields, "grants": grants})


class Site:
    """Applies changes that pass the check."""

    def __init__(self):
        self.machine = Machine()
        self.directory = Directory(self.machine)

    def apply(self, *edits):
        command = parse_change({"change_id": "c", "edits": list(edits)})
        check_change(command, self.directory)
        index = self.machine.index + 1
        self.machine.answers.clear()
        self.machine.apply(Entry(1, index, encode(command)))

    def refuse(self, text, *edits):
        before = self.machine.index
        with pytest.raises(RequestError, match=text) as caught:
            self.apply(*edits)
        assert caught.value.failure.kind is ErrorKind.BAD_REQUEST
        assert "\n" not in caught.value.failure.message
        assert self.machine.index == before


def test_a_grant_may_name_a_template_of_the_same_change():
    site = Site()
    site.refuse("does not exist", team())
    site.apply(team(), template())
    assert site.directory.find_key_team(KEY) == "advisers"


def test_a_template_goes_only_with_its_last_grant():
    site = Site()
    site.apply(template(), team())
    site.refuse("granted", edit("template", "drafting", None))


def test_a_key_belongs_to_one_team():
    """Two teams with one key: which one's answers would a caller get?"""
    site = Site()
    site.apply(template(), team())
    site.refuse("another team", team("volunteers"))
    site.refuse("another team", team("x", key_sha256=[OTHER]), team("y"))
    site.refuse(
        "another team",
        team("x", key_sha256=[OTHER]),
        team("y", key_sha256=[OTHER]),
    )
    assert [name for name, _ in site.directory.teams()] == ["advisers"]


def test_a_pool_has_targets_of_one_kind():
    site = Site()
    site.apply(template())
    service = edit("template", "s", {"pool": "p", "kind": "service"})
    site.refuse("of kind engine", service)


@pytest.mark.parametrize(
    ("text", "plain"),
    [
        ("shards", template(shards=0)),
        ("shards", template(shards=65)),
        ("min_targets", template(min_targets=0)),
        ("queue_limit", template(queue_limit=0)),
        ("max_output_tokens", template(max_output_tokens=-1)),
        ("model", template(model="")),
        ("model_version", template(model_version="a b")),
        ("adapter", template(adapters=["a b"])),
        ("does not start with /", template(routes=[{"path": "records"}])),
        ("methods", template(routes=[{"path": "/", "methods": ["post"]}])),
        ("name", template("a:b")),
        ("name", template("x" * 65)),
        ("pool", template(pool="")),
        ("service has no model", template(kind="service")),
        ("weight", team(grants=[], weight=0)),
        ("too large", team(grants=[], weight=10**400)),
        ("hexadecimal", team(grants=[], key_sha256=["abc"])),
        ("hexadecimal", team(grants=[], key_sha256=KEY)),
        ("unknown kind", edit("user", "u", None)),
        ("twice", team(grants=[])),
    ],
)
def test_bad_values_are_named(text, plain):
    edits = [plain, plain] if text == "twice" else [plain]
    Site().refuse(text, *edits)


def test_a_grant_keeps_within_its_template():
    site = Site()
    site.apply(template(adapters=["x"]))
    site.refuse("adapters", team(grants={"drafting": {"adapters": ["y"]}}))
    site.refuse("share", team(grants={"drafting": {"share": -1}}))
    grant = {"drafting": {"max_output_tokens": 0}}
    site.refuse("max_output_tokens", team(grants=grant))
    site.apply(team(grants={"drafting": {"adapters": ["x"], "share": 2}}))


def test_the_shards_of_a_pool_follow_its_templates():
    """Asked at each request, so it must not read all documents anew."""
    site = Site()
    assert site.directory.pool_shards("p") == 0
    site.apply(template(shards=2), template("b", shards=4), team())
    assert site.directory.pool_shards("p") == 4
    version = site.machine.documents["template", "b"].version
    site.apply({**edit("template", "b", None), "base_version": version})
    assert site.directory.pool_shards("p") == 2
    assert list(site.directory.templates()) == ["drafting"]
