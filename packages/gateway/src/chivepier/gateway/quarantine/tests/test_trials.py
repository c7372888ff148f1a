"""Tests of letting single requests through once a hold is over."""

import random

from chivepier.gateway.quarantine.trials import TRIAL_SECONDS
from chivepier.gateway.quarantine.trials import Trials
from chivepier.gateway.quarantine.trials import TRIALS_PER_SECOND

PARTS = frozenset({"p"})
# End of the hold, in monotonic seconds.
UNTIL = 100.0


def count_admitted(
    entries: int, seconds: float, seed: int, per_second: int = 10
) -> int:
    """Count the requests that all entries let through together."""
    rng = random.Random(seed)
    trials = [Trials(lambda: entries, rng) for _ in range(entries)]
    admitted = set()
    for step in range(round(per_second * seconds)):
        now = UNTIL + step / per_second
        for entry, trial in enumerate(trials):
            name = f"{entry}-{step}"
            if trial.admit(PARTS, name, UNTIL, now):
                admitted.add(name)
    return len(admitted)


def test_many_entries_let_few_requests_through_together():
    # Guards against a part that ends a target at each entry once its hold is
    # over everywhere in the same moment.
    counts = [count_admitted(191, 4.0, seed) for seed in range(10)]
    assert max(counts) <= 8 and sum(counts) <= 40 and sum(counts)


def test_one_entry_lets_a_request_through_before_long():
    assert 1 <= count_admitted(1, 2 * TRIAL_SECONDS, 1) <= 2


def test_part_that_comes_rarely_is_tried_when_it_comes():
    # Guards against sound requests that are refused for minutes, as each of
    # them alone hardly ever met an entry that was to let one through.
    entries, interval = 7, 5.0
    refused = []
    for seed in range(20):
        rng = random.Random(seed)
        trials = [Trials(lambda: entries, rng) for _ in range(entries)]
        count, now = 0, UNTIL + interval
        while not rng.choice(trials).admit(PARTS, f"{count}", UNTIL, now):
            count, now = count + 1, now + interval
        refused.append(count)
    assert sum(refused) / len(refused) < entries / TRIALS_PER_SECOND / interval


def test_admitted_request_is_admitted_at_each_check():
    # It is checked when it arrives, and again before each send.
    trials = Trials(lambda: 1, random.Random(1))
    now = UNTIL
    while not trials.admit(PARTS, "d", UNTIL, now):
        now += 0.5
    assert trials.admit(PARTS, "d", UNTIL, now + TRIAL_SECONDS / 2)
    assert not trials.admit(PARTS, "other", UNTIL, now + TRIAL_SECONDS / 2)


def test_later_hold_is_drawn_for_anew():
    trials = Trials(lambda: 1, random.Random(1))
    now = UNTIL
    while not trials.admit(PARTS, "d", UNTIL, now):
        now += 0.5
    later = now + 40.0
    assert not trials.admit(PARTS, "d", later, later)


def test_draws_for_parts_that_are_not_suspected_are_forgotten():
    trials = Trials(lambda: 1, random.Random(1))
    trials.admit(PARTS, "d", UNTIL, UNTIL)
    trials.forget(())
    assert not trials._trials
