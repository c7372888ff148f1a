"""Tests of the choice of a target by load."""

import collections
import random

from chivepier.gateway.config import Engine
from chivepier.gateway.messages import LoadRecord
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import ReportBoard
from chivepier.gateway.targets import TargetHealth
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.targets.tests.test_targettable import make
from chivepier.types import ManualClock

ENGINE = Engine(slots=24, memory_tokens=34_000)
DEMAND = Demand(prompt=3_000, output=900)


class Choice:
    """A load balancer over some targets, with given loads."""

    def __init__(self, *names: str):
        self.table = TargetTable(1.0)
        self.health = TargetHealth()
        self.loads = LoadTracker("me")
        self.clock = ManualClock()
        self.reports, self.rng = ReportBoard(), random.Random(1)
        self.balancer = LoadBalancer(
            self.table,
            self.health,
            self.loads,
            "z",
            self.clock,
            self.rng,
            reports=self.reports,
        )
        for name in names:
            self.table.put(make(name, address=f"{name}:1"))

    def load(self, name, runs=0, tokens=0, reading=0, entry="other"):
        """Report the load of another entry."""
        record = LoadRecord(entry, name, runs, tokens, reading, 0)
        self.loads.put(record, self.clock.monotonic())

    def pick(self, **options):
        """Choose a target for a generation."""
        return self.balancer.choose("s", ENGINE, DEMAND, **options).instance


def test_target_with_the_most_free_memory_is_taken():
    choice = Choice("a", "b")
    choice.load("a", runs=5, tokens=20_000)
    choice.load("b", runs=1, tokens=4_000)
    assert choice.pick() == "b"


def test_slots_limit_small_generations():
    choice = Choice("a", "b")
    choice.load("a", runs=20, tokens=2_000)
    choice.load("b", runs=2, tokens=9_000)
    assert choice.pick() == "b"


def test_new_target_does_not_get_every_prompt():
    # A target that just started got every prompt, and they queued there.
    choice = Choice("new", "a", "b", "c")
    for name in ("a", "b", "c"):
        choice.load(name, runs=4, tokens=14_000)
    counts = collections.Counter()
    reading = 0
    for _ in range(10):
        name = choice.pick()
        counts[name] += 1
        if name == "new":
            reading += DEMAND.prompt
            runs = counts["new"]
            tokens = runs * DEMAND.tokens
            choice.load("new", runs, tokens, reading)
    assert 1 <= counts["new"] <= 3


def test_choice_among_equivalent_targets_is_random():
    # Many entries see the same loads. If all chose the first of two
    # equivalent targets, it would get a whole burst.
    choice = Choice("a", "b", "c")
    counts = collections.Counter(choice.pick() for _ in range(300))
    assert min(counts.values()) > 60


def test_expired_load_reports_are_ignored():
    choice = Choice("a", "b")
    choice.load("a", runs=9, tokens=33_000)
    choice.clock.advance(5.0)
    choice.table.put(make("a", number=2, heard=5.0))
    choice.table.put(make("b", number=2, heard=5.0))
    choice.load("b", runs=1, tokens=4_000)
    assert choice.pick() == "a"


def test_target_that_fails_more_than_others_is_avoided():
    choice = Choice("a", "b", "c")
    for _ in range(10):
        choice.health.record_response("a", True, 0.0, 0.0)
        choice.health.record_response("b", False, 0.0, 0.0)
        choice.health.record_response("c", False, 0.0, 0.0)
    picked = {choice.pick() for _ in range(50)}
    assert picked == {"b", "c"}


def test_service_whose_targets_all_fail_stays_in_use():
    choice = Choice("a", "b")
    for name in ("a", "b"):
        for _ in range(10):
            choice.health.record_response(name, True, 0.0, 0.0)
    assert {choice.pick() for _ in range(50)} == {"a", "b"}


def test_silent_target_is_avoided_and_tried_again():
    choice = Choice("a", "b")
    choice.health.record_unreachable("a", 0.0)
    assert {choice.pick() for _ in range(20)} == {"b"}
    choice.clock.advance(0.6)
    assert "a" in {choice.pick() for _ in range(50)}


def test_copies_off_several_targets_go_to_different_targets():
    # Copies off all leaving targets went to the emptiest target and shared its
    # link; stopped generations waited 0.2 to 0.6 s for second copies.
    choice = Choice("a", "b", "c")
    source = choice.table.get("a")
    choice.load("c", runs=3, tokens=12_000)

    def find(tokens=4_000):
        return choice.balancer.choose_destination(
            "s", ENGINE, tokens, source, {"a"}
        )

    assert find().instance == "b"
    choice.loads.adjust_own("b", tokens=4_000, receiving=1)
    assert find().instance == "c"
    assert find(25_000).instance == "b"
    assert find(31_000) is None


def test_moved_generation_goes_to_free_memory_despite_prompts():
    # Copies avoided targets with free memory if these had prompts to read.
    choice = Choice("a", "new", "full")
    source = choice.table.get("a")
    choice.load("new", runs=3, tokens=9_000, reading=9_000)
    choice.load("full", runs=7, tokens=28_000)
    found = choice.balancer.choose_destination(
        "s", ENGINE, 4_000, source, {"a"}
    )
    assert found.instance == "new"


def test_entry_that_copies_already_is_not_interrupted():
    choice = Choice("a")
    record = LoadRecord("z-last", "a", 1, 10, 0, 500, True)
    choice.loads.put(record, 0.0)
    assert choice.loads.get_copy_wait_ms("a", 0.0) == 500


def test_emptiest_target_gets_only_a_share_of_a_burst():
    # A burst of requests went to the target that had just started.
    choice = Choice("new", *"bcdefghij")
    for name in "bcdefghij":
        choice.load(name, runs=4, tokens=20_000)
    counts = collections.Counter(choice.pick() for _ in range(1000))
    assert 200 < counts["new"] < 400


def test_target_is_full_if_its_generations_will_fill_it():
    # A target had memory when a request arrived, but not after its generations
    # had grown; it then preempted some and had to read them again.
    choice = Choice("a")
    target = choice.table.get("a")
    choice.load("a", runs=7, tokens=30_700)
    assert choice.balancer.has_room(target, ENGINE, DEMAND)
    choice.load("a", runs=8, tokens=31_000)
    assert not choice.balancer.has_room(target, ENGINE, DEMAND)


def test_entries_that_sort_before_this_one_copy_first():
    choice = Choice("a")
    for entry, turn in (("a-first", 300), ("z-last", 500)):
        record = LoadRecord(entry, "a", 1, 10, 0, turn)
        choice.loads.put(record, 0.0)
    assert choice.loads.get_copy_wait_ms("a", 0.0) == 300


def test_copies_stay_in_their_zone_while_many_are_pending():
    # Copies to other zones saturated the leaving target's link until its end.
    choice = Choice("a", "near")
    choice.table.put(make("far", address="far:1", zone="y"))
    source = choice.table.get("a")

    def find():
        return choice.balancer.choose_destination(
            "s", ENGINE, 4_000, source, {"a"}
        ).instance

    choice.load("near", runs=6, tokens=24_000)
    choice.loads.set_copy_time("a", 800)
    choice.loads.put(LoadRecord("other", "a", 4, 16_000, 0, 1_200), 0.0)
    assert find() == "near"
    choice.loads.put(LoadRecord("other", "a", 0, 0, 0, 0), 0.0)
    assert find() == "far"
    choice.loads.set_copy_time("a", 3_000)
    choice.load("near", runs=8, tokens=31_000)
    assert find() == "far"


def test_prompts_do_not_queue_behind_each_other_at_one_target():
    # All waiting prompts were sent to the one target that had just started.
    choice = Choice("new")
    target = choice.table.get("new")
    demand = Demand(prompt=3_000, output=900, objective=1.5)
    choice.load("new", runs=1, tokens=3_000, reading=3_000)
    assert choice.balancer.has_room(target, ENGINE, demand)
    choice.balancer.prefill_estimator.record("s", 6_000, 0.7)
    assert choice.balancer.has_room(target, ENGINE, demand)
    choice.load("new", runs=2, tokens=6_000, reading=6_000)
    assert not choice.balancer.has_room(target, ENGINE, demand)
    choice.load("new", runs=2, tokens=6_000)
    long = Demand(prompt=12_000, output=900, objective=1.5)
    assert choice.balancer.has_room(target, ENGINE, long)
