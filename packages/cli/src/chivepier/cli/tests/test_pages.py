"""Tests that operators' pages keep up with the code."""

import pathlib

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.node.cluster import Cluster
from chivepier.node.directory import Directory
from chivepier.node.gauges import Gauges
from chivepier.node.main import main as daemon
from chivepier.node.metrics import Metrics
from chivepier.node.owner import Owner
from chivepier.state import Identity
from chivepier.state import Machine
from chivepier.types import ERROR_TABLE
from chivepier.types import ManualClock
from chivepier.wire import Traffic

PAGE = pathlib.Path(__file__).parents[6] / "docs" / "OPERATIONS.md"


def make_cluster():
    clock, terms = ManualClock(), LeaseTerms()
    return Cluster(
        settings=None,
        clock=clock,
        identity=Identity("n"),
        incarnation=1,
        terms=terms,
        machine=Machine(),
        freshness=Freshness(clock, terms),
    )


def test_every_error_kind_is_explained_with_its_codes():
    lines = PAGE.read_text().splitlines()
    for kind, rule in ERROR_TABLE.items():
        start = f"| `{kind.value}` | {rule.status} |"
        found = [line for line in lines if line.startswith(start)]
        assert len(found) == 1, start
        assert found[0].endswith(f"| {rule.exit_code} |"), found[0]


def test_every_setting_is_explained():
    text = PAGE.read_text()
    for option in daemon.params:
        assert f"`{option.opts[0]}`" in text, option.opts[0]


def test_every_metric_is_explained():
    text = PAGE.read_text()
    registry = Metrics().registry
    cluster = make_cluster()
    directory = Directory(cluster.machine)
    owner = Owner(cluster, directory)
    registry.register(Gauges(cluster, owner, Traffic()))
    for metric in registry.collect():
        name = metric.name
        if metric.type == "counter":
            name += "_total"
        assert f"`{name}`" in text, name
