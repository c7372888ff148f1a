"""Tests of the stand-in engine's batching."""

from chivepier.standins.engine import Batch
from chivepier.standins.engine import Costs
from chivepier.standins.engine import Memory
from chivepier.standins.engine import Stream
from chivepier.types import ManualClock


def make_stream(name, length, priority=0, arrived=0.0, chars=64):
    return Stream(
        generation=name,
        model="m",
        prompt="x" * chars,
        chat=False,
        priority=priority,
        salt="team",
        length=length,
        limit=length,
        arrived=arrived,
    )


def make_batch(tokens):
    return Batch(ManualClock(), Costs(), Memory(tokens), 8)


def test_each_step_gives_each_stream_one_token():
    batch = make_batch(1000)
    streams = [make_stream(n, 5) for n in "ab"]
    for stream in streams:
        batch.add(stream)
    for _ in range(5):
        batch.step()
    assert [s.tokens for s in streams] == [5, 5]
    assert not batch.running
    assert batch.memory.used == 0


def test_full_memory_preempts_lowest_priority_and_it_still_finishes():
    batch = make_batch(64)
    urgent = make_stream("urgent", 30, priority=2)
    batchy = make_stream("batch", 30, priority=0, arrived=1.0)
    batch.add(urgent)
    batch.add(batchy)
    for _ in range(200):
        batch.step()
    assert urgent.finished
    assert batchy.finished
    assert urgent.preemptions == 0
    assert batchy.preemptions > 0


def test_stream_that_can_never_fit_ends():
    batch = make_batch(32)
    stream = make_stream("huge", 1000)
    batch.add(stream)
    for _ in range(200):
        batch.step()
    assert stream.ended
    assert not stream.finished
    assert not batch.waiting


def test_prefix_of_another_team_is_not_reused():
    memory = Memory(1000)
    mine = make_stream("a", 1, chars=512)
    memory.keep_prefixes(mine.hash_prefixes())
    other = make_stream("b", 1, chars=512)
    other.salt = "another"
    assert memory.match(mine.hash_prefixes()) > 0
    assert memory.match(other.hash_prefixes()) == 0
