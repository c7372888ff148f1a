"""What the fake engine does when its memory is full."""

import array
import collections

from chivepier.policy.ask import Ask
from chivepier.policy.benchmarks.call import Call
from chivepier.policy.benchmarks.engine import FakeEngine
from chivepier.policy.benchmarks.sequence import Sequence
from chivepier.policy.benchmarks.shape import Shape
from chivepier.types import Urgency


def make_engine(**changes):
    """Build an engine with little memory."""
    gaps = collections.defaultdict(lambda: array.array("d"))
    return FakeEngine("t", "a", Shape(**changes), gaps)


def submit(engine, number, prompt, length, urgency=Urgency.NORMAL, chain=()):
    """Submit one generation."""
    ask = Ask(
        request=f"r{number}",
        team="a",
        template="t",
        model="m",
        urgency=urgency,
        prompt_tokens=prompt,
    )
    call = Call(
        number=number,
        at=0.0,
        stream=None,
        zone="a",
        prompt=prompt,
        length=length,
        chain=chain,
    )
    sequence = Sequence(ask, number, call, float(number))
    engine.submit(sequence)
    return sequence


def run(engine):
    """Run until nothing is left; return the finished and the time."""
    now, finished = 100.0, []
    while True:
        done, seconds = engine.step(now)
        finished += done
        if seconds is None:
            return finished, now
        now += seconds


def test_all_tokens_come_and_all_memory_returns():
    engine = make_engine()
    for number in range(20):
        submit(engine, number, 300, 50)
    finished, _ = run(engine)
    assert len(finished) == 20
    assert all(s.produced == 50 for s in finished)
    assert engine.used_tokens == 0


def test_least_urgent_latest_stream_is_pushed_off_and_computed_again():
    engine = make_engine(capacity_tokens=1600)
    first = submit(engine, 1, 600, 300, Urgency.BATCH)
    last = submit(engine, 2, 600, 300, Urgency.BATCH)
    urgent = submit(engine, 3, 200, 300, Urgency.URGENT)
    finished, _ = run(engine)
    assert len(finished) == 3
    assert (first.preempted, urgent.preempted) == (0, 0)
    assert last.preempted > 0
    assert last.stalled > 0.25
    assert engine.preemptions == last.preempted


def test_cached_prefix_is_not_computed_again():
    engine = make_engine()
    chain = tuple(range(1, 17))
    submit(engine, 1, 1100, 5, chain=chain)
    _, cold = run(engine)
    submit(engine, 2, 1100, 5, chain=chain)
    _, warm = run(engine)
    assert warm - 100.0 < 0.8 * (cold - 100.0)
    submit(engine, 3, 1100, 5, chain=tuple(range(101, 117)))
    _, other = run(engine)
    assert other == cold


def test_idle_cache_gives_way_to_streams():
    engine = make_engine(capacity_tokens=2000)
    submit(engine, 1, 1100, 5, chain=tuple(range(1, 17)))
    run(engine)
    assert engine.cache.idle == 16
    submit(engine, 2, 1800, 5)
    finished, _ = run(engine)
    assert len(finished) == 1
    assert engine.preemptions == 0
