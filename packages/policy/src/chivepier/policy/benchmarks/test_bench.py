"""That a benchmark's verdict repeats, and counts every call."""

import attrs
import pytest

from chivepier.policy.benchmarks.bench import Bench
from chivepier.policy.benchmarks.bounds import _check_run
from chivepier.policy.benchmarks.runner import find_scenario
from chivepier.policy.benchmarks.runner import Job
from chivepier.policy.benchmarks.runner import POLICIES
from chivepier.policy.benchmarks.runner import run_job
from chivepier.policy.benchmarks.site import FAIRWAY
from chivepier.policy.benchmarks.workload import draw_calls
from chivepier.policy.sharedpolicy import SharedPolicy

SECONDS = 60.0


@pytest.mark.parametrize("policy", POLICIES)
def test_same_seed_gives_the_same_numbers(policy):
    job = Job("fairway", "reclaim", policy, 3, SECONDS)
    assert run_job(job) == run_job(job)


def test_other_seed_gives_other_numbers():
    jobs = [Job("almaty", "steady", "fixed-limit", s, SECONDS) for s in (1, 2)]
    assert run_job(jobs[0]) != run_job(jobs[1])


@pytest.mark.parametrize("name", ("death", "reclaim", "surge"))
def test_every_call_has_one_end(name):
    # Each call finishes, is given up, or is under way at the end, once; and
    # the policy holds exactly what runs.
    scenario = find_scenario(FAIRWAY, name)
    calls = draw_calls(FAIRWAY, scenario, 1, SECONDS)
    bench = Bench(FAIRWAY, scenario, calls, SharedPolicy, SECONDS).run()
    policy = bench.policy
    waiting = {bench.attempts[r] for r in policy._sharing.waiting}
    running = {
        bench.attempts[flight.held.ask.request]
        for flight in policy._flights.values()
    }
    for call in calls:
        ends = [
            call.finished is not None,
            call.given_up,
            call in waiting,
            call in running,
            call in bench.away,
        ]
        assert sum(ends) == 1 or not call.attempts
    assert set(bench.running) <= set(policy._flights)


def test_surge_leaves_the_other_teams_calls_alone():
    # Else a difference between the runs could be the draw's.
    found = []
    for name in ("calm", "surge"):
        calls = draw_calls(FAIRWAY, find_scenario(FAIRWAY, name), 1, SECONDS)
        found.append(
            [
                (call.at, call.length, call.chain)
                for call in calls
                if call.stream.team != FAIRWAY.surging
            ]
        )
    assert found[0] == found[1]


def test_broken_bound_is_named():
    job = Job("fairway", "steady", "shared")
    bound = {"most": {"stall_p99": 1.0}, "least": {"goodput": 10.0}}
    values = {"stall_p99": 2.0, "goodput": 5.0}
    assert len(_check_run(job, bound, values)) == 2
    values = {"stall_p99": 1.0, "goodput": 10.0}
    assert not _check_run(job, bound, values)
    assert attrs.evolve(job, seed=2) != job
