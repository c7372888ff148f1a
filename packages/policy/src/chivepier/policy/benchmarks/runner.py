"""Runs policies over scenarios, a few processes at a time."""

import concurrent.futures

import attrs

from chivepier.policy.benchmarks.bench import Bench
from chivepier.policy.benchmarks.fixedlimit import FixedLimit
from chivepier.policy.benchmarks.leastload import LeastLoad
from chivepier.policy.benchmarks.measures import measure_run
from chivepier.policy.benchmarks.measures import Measures
from chivepier.policy.benchmarks.roundrobin import RoundRobin
from chivepier.policy.benchmarks.scenario import Scenario
from chivepier.policy.benchmarks.scenario import SCENARIOS
from chivepier.policy.benchmarks.site import Site
from chivepier.policy.benchmarks.site import SITES
from chivepier.policy.benchmarks.variants import make_blind
from chivepier.policy.benchmarks.variants import make_oracle
from chivepier.policy.benchmarks.workload import draw_calls
from chivepier.policy.sharedpolicy import SharedPolicy

SEED = 1
SECONDS = 120.0
PROCESSES = 4
OURS = "shared"
BLIND = "no-lengths"
ORACLE = "oracle"
SIMPLE = ("round-robin", "least-load", "fixed-limit")
POLICIES = (*SIMPLE, BLIND, OURS, ORACLE)


@attrs.frozen
class Job:
    """One run: a policy in a scenario of a site."""

    site: str
    scenario: str
    policy: str
    seed: int = SEED
    seconds: float = SECONDS


def find_scenario(site: Site, name: str) -> Scenario:
    """Return a scenario with the site's surging team filled in.

    :param site: the deployment
    :param name: the scenario's name
    """
    return attrs.evolve(SCENARIOS[name], surging=site.surging)


def run_job(job: Job) -> Measures:
    """Run one job.

    :param job: what to run
    :returns: what was measured
    """
    site = SITES[job.site]
    scenario = find_scenario(site, job.scenario)
    calls = draw_calls(site, scenario, job.seed, job.seconds)
    make = _find_policy(job.policy, site, calls)
    bench = Bench(site, scenario, calls, make, job.seconds)
    return measure_run(job.policy, bench.run())


def _find_policy(name: str, site: Site, calls):
    match name:
        case "round-robin":
            return RoundRobin
        case "least-load":
            return LeastLoad
        case "fixed-limit":
            return FixedLimit.of(site.fixed_limit)
        case "no-lengths":
            return make_blind
        case "oracle":
            return make_oracle(calls)
        case "shared":
            return SharedPolicy
    raise ValueError(f"unknown policy {name!r}")


def run_jobs(jobs: list[Job], processes: int = PROCESSES) -> dict:
    """Run jobs; results don't depend on the number of processes.

    :param jobs: what to run
    :param processes: how many at once
    :returns: the measures by job
    """
    if processes == 1:
        return {job: run_job(job) for job in jobs}
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        return dict(zip(jobs, pool.map(run_job, jobs)))
