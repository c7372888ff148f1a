"""Processor time and memory of the policy by size."""

import collections
import gc
import itertools
import random
import time
import tracemalloc

import attrs
import click

from chivepier.messages import PermitOutcome
from chivepier.policy.ask import Ask
from chivepier.policy.grant import Grant
from chivepier.policy.limits import Limits
from chivepier.policy.refusal import Refusal
from chivepier.policy.sharedpolicy import SharedPolicy
from chivepier.policy.targetview import TargetView
from chivepier.types import ManualClock
from chivepier.types import Urgency

REQUESTS = 1500
REPORTS = 20
LENGTH = 400
PROMPT = 600
STEP = 0.01
SIZES = {
    "targets": (4, 8, 16, 32, 64),
    "teams": (10, 100, 1000, 10_000, 49_000),
    "queue": (0, 100, 300, 1000),
}


@attrs.frozen
class Size:
    """Targets, teams that ask in turn, and requests kept waiting."""

    targets: int = 8
    teams: int = 10
    queue: int = 0


class Drill:
    """Keeps a policy at one size, and times what a request costs.

    Every request is submitted, reported on :data:`REPORTS` times and
    released; the policy decides after each submission and release.
    """

    def __init__(self, size: Size):
        self._size = size
        self._clock = ManualClock()
        self._rng = random.Random(size.targets)
        self._numbers = itertools.count()
        self._held: collections.deque[int] = collections.deque()
        # the bounds on waits would refuse what is to be kept waiting
        limits = Limits(waits=dict.fromkeys(Urgency, 1e6))
        self.policy = SharedPolicy(self._clock, limits=limits)
        self.waiting = 0
        self.refused = 0
        for number in range(size.targets):
            self.policy.set_target(
                TargetView(
                    target=f"t{number}",
                    address="",
                    models=frozenset(("m",)),
                    capacity_tokens=40_000,
                    max_streams=64,
                )
            )

    def submit(self) -> None:
        """Submit one request of the next team."""
        number = next(self._numbers)
        team = number % self._size.teams
        now = self._clock.monotonic()
        self.policy.submit(
            Ask(
                request=f"r{number}",
                team=f"team{team}",
                template="t",
                model="m",
                urgency=Urgency(number % 3),
                prompt_tokens=PROMPT,
                max_tokens=4096,
                prefix=tuple(range(team * 100, team * 100 + 8)),
                arrived=now,
                deadline=now + 1e6,
                queue_limit=1 << 20,
            )
        )
        self.waiting += 1
        self._settle()

    def _settle(self) -> None:
        for decision in self.policy.decide():
            self.waiting -= 1
            match decision:
                case Grant():
                    self._held.append(decision.permit)
                case Refusal():
                    self.refused += 1

    def finish(self) -> None:
        """Report on the oldest request, and release it."""
        permit = self._held.popleft()
        length = self._rng.randint(LENGTH // 2, LENGTH * 3 // 2)
        for report in range(REPORTS):
            self._clock.advance(STEP / REPORTS)
            self.policy.progress(permit, 1 + length * report // REPORTS)
        self.policy.release(permit, length, PermitOutcome.FINISHED)
        self._settle()

    def run(self, requests: int) -> float:
        """Run requests at this size.

        :param requests: how many
        :returns: processor seconds for each
        """
        start = time.process_time()
        for _ in range(requests):
            while self._held and self._is_full():
                self.finish()
            self.submit()
        return (time.process_time() - start) / requests

    def _is_full(self) -> bool:
        if self._size.queue:
            return self.waiting >= self._size.queue
        return len(self._held) >= self._size.targets * 20


def measure_size(size: Size) -> tuple[float, float]:
    """Measure one size.

    :param size: targets, teams and waiting requests
    :returns: microseconds a request, and MiB that the policy holds
    """
    warm = size.targets * 40 + size.queue * 2 + min(size.teams, 49_000)
    drill = Drill(size)
    drill.run(warm)
    seconds = drill.run(REQUESTS)
    del drill
    gc.collect()
    tracemalloc.start()
    drill = Drill(size)
    drill.run(warm)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return seconds * 1e6, memory / (1 << 20)


def print_slopes() -> None:
    """Print the figures for each size, one dimension at a time."""
    click.echo("processor time is of this machine: a trial, not a bound")
    for name, values in SIZES.items():
        for value in values:
            micros, mib = measure_size(attrs.evolve(Size(), **{name: value}))
            click.echo(
                f"{name:8}{value:7d}{micros:9.1f} us a request"
                f"{mib:8.2f} MiB"
            )
