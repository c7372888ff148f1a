"""Tests of the cost of a plain request by reported load."""

from chivepier.gateway.targets.loadbalancer import TIE_MARGIN
from chivepier.gateway.targets.reportboard import ReportBoard
from chivepier.gateway.targets.reportedload import ReportedLoad
from chivepier.gateway.targets.requestcost import RequestCost
from chivepier.gateway.targets.targethealth import TargetHealth
from chivepier.gateway.targets.tests.test_targettable import make

A, B, C = (make(name, address=f"{name}:1", born=1) for name in "abc")


def make_cost(**loads):
    """Return costs by reports of (running, pace) at second 1."""
    board, health = ReportBoard(), TargetHealth()
    for name, (running, pace) in loads.items():
        load = ReportedLoad(running=running, waiting=0, slots=6, pace=pace)
        board.record(name, 1, load, 1.0)
    return RequestCost(board, health, 0.2), board, health


def test_new_target_is_neither_starved_nor_flooded():
    """Guards against all, or no, requests to a target without a report."""
    cost, _, _ = make_cost(a=(0, 0.7), b=(6, 1.7))
    costs = cost.estimate((A, B, C), {}, 1.05)
    assert costs["c"] == costs["a"] < costs["b"] - TIE_MARGIN
    costs = cost.estimate((A, B, C), {"c": 1}, 1.05)
    assert costs["c"] > costs["a"] + TIE_MARGIN


def test_quick_failures_do_not_make_a_target_cheaper():
    """Guards against the herd on a target that fails and so looks idle."""
    cost, _, health = make_cost(a=(0, 1.0), b=(4, 1.0))
    before = cost.estimate((A, B), {}, 1.0)
    health.record_response("a", True, 0.0, 1.0)
    health.record_response("a", True, 0.0, 1.0)
    after = cost.estimate((A, B), {}, 1.0)
    assert before["a"] == before["b"] == after["b"]
    assert after["a"] > after["b"] + TIE_MARGIN


def test_reports_of_an_earlier_start_or_too_old_count_for_nothing():
    """Guards against a restarted target's old load, and a lost relay's."""
    cost, board, _ = make_cost(a=(6, 2.5), b=(0, 1.0))
    again = make("a", address="a:1", born=2)
    assert cost.find_places((again, B), 1.1) is None
    costs = cost.estimate((again, B), {}, 1.1)
    assert costs["a"] == costs["b"]
    assert cost.estimate((A, B), {}, 2.5) == {"a": 0.0, "b": 0.0}
    board.note_start("b")
    assert [place.left for place in cost.find_places((A, B), 1.0)] == [6, 1]
