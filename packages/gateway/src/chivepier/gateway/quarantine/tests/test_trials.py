"""Tests of letting single requests through once a hold is over."""

import random

from chivepier.gateway.quarantine.trials import SLOT_SECONDS
from chivepier.gateway.quarantine.trials import TRIAL_SECONDS
from chivepier.gateway.quarantine.trials import Trials

PARTS = frozenset({"p"})


def count_admitted(entries: int, seconds: float, seed: int) -> int:
    """Count the requests that all entries let through together."""
    rng = random.Random(seed)
    trials = [Trials(lambda: entries, rng) for _ in range(entries)]
    admitted = set()
    for step in range(round(10 * seconds)):
        for entry, trial in enumerate(trials):
            name = f"{entry}-{step}"
            if trial.admit(PARTS, name, step / 10):
                admitted.add(name)
    return len(admitted)


def test_many_entries_let_few_requests_through_together():
    # Guards against a part that ends a target at each entry once its hold is
    # over everywhere in the same moment.
    counts = [count_admitted(191, 4 * SLOT_SECONDS, s) for s in range(10)]
    assert max(counts) <= 8 and sum(counts) <= 40 and sum(counts)


def test_one_entry_lets_a_request_through_before_long():
    assert count_admitted(1, 10 * SLOT_SECONDS, 1) == 1


def test_admitted_request_is_admitted_at_each_check():
    # It is checked when it arrives, and again before each send.
    trials = Trials(lambda: 1, random.Random(1))
    step = 0
    while not trials.admit(PARTS, "d", step * SLOT_SECONDS):
        step += 1
    at = step * SLOT_SECONDS
    assert trials.admit(PARTS, "d", at + TRIAL_SECONDS / 2)
    assert not trials.admit(PARTS, "other", at + TRIAL_SECONDS / 2)


def test_draws_for_parts_that_are_not_suspected_are_forgotten():
    trials = Trials(lambda: 1, random.Random(1))
    trials.admit(PARTS, "d", 0.0)
    trials.forget(())
    assert not trials._trials
