"""One generation over links that are cut, silent, crossed or gone."""

import asyncio
import json

import aiohttp
import attrs
import pytest

from chivepier.node.engineclient import EngineClient
from chivepier.node.metrics import Metrics
from chivepier.node.relay import Relay
from chivepier.node.ssebuffer import SseBuffer
from chivepier.node.streammeter import StreamMeter
import chivepier.node.tests.fakeengine as fake
from chivepier.node.tests.fakeengine import FakeEngine
from chivepier.node.tests.fakeentry import SHORT
from chivepier.node.watchdog import Watchdog
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

GENERATION = "g" * 32


def read_indexes(events: bytes) -> list[int]:
    """Return the indexes that a caller saw, checking whose they are."""
    indexes = []
    for event in events.split(b"\n\n")[:-1]:
        if event == b"data: [DONE]":
            continue
        label, data = event.split(b"\n")
        assert json.loads(data.removeprefix(b"data: "))["id"] == GENERATION
        indexes.append(int(label.rpartition(b".")[2]))
    return indexes


class Bench:
    """A relay on one fake engine."""

    def __init__(self, *scripts, patience=SHORT, length=8):
        self.engine = FakeEngine(*scripts, length=length)
        self.metrics = Metrics()
        self._patience = patience
        self.delivered = b""

    async def __aenter__(self):
        await self.engine.__aenter__()
        self._http = aiohttp.ClientSession()
        client = EngineClient(self._http, self.engine.address, GENERATION)
        buffer = SseBuffer(b"h.", GENERATION.encode())
        loop = asyncio.get_running_loop()
        meter = StreamMeter(self.metrics, "t", "normal", loop.time())
        self.relay = Relay(client, buffer, self._patience, meter)
        return self

    async def __aexit__(self, *exc):
        await self._http.close()
        await self.engine.__aexit__(*exc)

    async def run(self) -> list[int]:
        """Relay to the end and return what was delivered."""
        await self.relay.dispatch("completions", {"prompt": "p"})
        async for data in self.relay.read():
            self.delivered += data
        return read_indexes(self.delivered)

    def losses(self, reason: str) -> float:
        """Return how many readers failed for a reason."""
        name = "chivepier_readers_lost_total"
        labels = {"reason": reason}
        return self.metrics.registry.get_sample_value(name, labels) or 0


def play(*scripts, **options) -> Bench:
    """Relay one answer whose readers are scripted."""

    async def run():
        async with Bench(*scripts, **options) as bench:
            indexes = await bench.run()
            assert indexes == list(range(bench.engine.length))
            assert bench.delivered.endswith(b"data: [DONE]\n\n")
            return bench

    return asyncio.run(run())


def test_an_undisturbed_answer_takes_one_reader():
    bench = play(fake.whole)
    assert len(bench.engine.posts) == 1 and not bench.engine.resumes


def test_a_cut_link_is_resumed_at_the_next_index():
    """The connection is lost after three events; the engine goes on.

    The caller must see the rest of the same generation, each token once.
    """
    bench = play(fake.cut_at(3), fake.whole)
    assert len(bench.engine.posts) == 1 and bench.engine.resumes == [3]
    assert bench.losses("closed") == 1


def test_a_second_reader_that_repeats_events_is_trimmed():
    bench = play(fake.cut_at(3), fake.repeat)
    assert bench.engine.resumes == [3]


def test_a_silent_link_is_replaced_long_before_a_timeout():
    """Bytes stop and the connection stays: nothing ever closes it."""
    bench = play(fake.hang_at(5), fake.whole)
    assert len(bench.engine.posts) == 1 and bench.engine.resumes == [5]
    assert bench.losses("stalled") == 1


def test_a_queued_generation_is_silent_on_every_link_and_goes_on():
    """Preempted: the engine has no token, on the old link or a new one."""
    scripts = [fake.hang_at(2)] * 3 + [fake.whole]
    bench = play(*scripts)
    assert len(bench.engine.posts) == 1
    assert bench.engine.resumes == [2, 2, 2]


def test_an_engine_silent_before_its_headers_is_asked_by_id():
    """The first request hangs; was it received?  A second one would run."""
    bench = play(fake.hang_before_headers, fake.whole)
    assert len(bench.engine.posts) == 1 and bench.engine.resumes == [0]


@pytest.mark.parametrize("index", [0, 3, 7])
def test_an_event_of_another_generation_is_never_delivered(index):
    """Another team's event stands amid a buffer of our own events.

    A check of the first and last event alone passes it on.
    """
    bench = play(fake.cross_at(index), fake.whole)
    assert b"secret" not in bench.delivered
    assert bench.losses("crossed") == 1


def test_an_answer_for_another_request_is_not_read():
    bench = play(fake.cross_header, fake.whole)
    assert bench.losses("crossed") == 1
    assert bench.engine.resumes == [0] and len(bench.engine.posts) == 1


def test_a_missing_event_is_fetched():
    bench = play(fake.skip(4), fake.whole)
    assert len(bench.engine.posts) == 1 and bench.losses("gap") == 1


def fail(*scripts, **options) -> tuple[RequestError, Bench]:
    """Relay one answer that can't be completed."""

    async def run():
        async with Bench(*scripts, **options) as bench:
            with pytest.raises(RequestError) as caught:
                await bench.run()
            return caught.value, bench

    return asyncio.run(run())


def test_a_generation_the_engine_forgot_is_lost_and_not_begun_again():
    """The engine restarted.  A new generation would be another text."""
    error, bench = fail(fake.cut_at(3), fake.refuse(404, "unknown"))
    assert error.failure.kind is ErrorKind.GENERATION_LOST
    assert error.failure.ran is Ran.YES
    assert "up to event 2" in error.failure.message
    assert len(bench.engine.posts) == 1
    assert read_indexes(bench.delivered) == [0, 1, 2]


def test_an_engine_that_crosses_every_answer_is_given_up():
    error, bench = fail(fake.cross_header)
    assert error.failure.kind is ErrorKind.GENERATION_LOST
    assert error.failure.ran is Ran.UNKNOWN
    assert bench.delivered == b""


def test_a_refusal_that_did_not_run_is_told_so():
    error, _ = fail(fake.refuse(503, "no"))
    assert error.failure.ran is Ran.NO


def test_a_refusal_without_a_word_may_have_run():
    error, _ = fail(fake.refuse(500, "perhaps"))
    assert error.failure.ran is Ran.UNKNOWN


def test_a_dead_engine_is_noticed_at_once():
    """The process exits after three tokens: its port refuses."""

    async def run():
        async with Bench(fake.hang_at(3)) as bench:
            await bench.relay.dispatch("completions", {})
            events = bench.relay.read()
            assert read_indexes(await anext(events)) == [0, 1, 2]
            await bench.engine.stop()
            with pytest.raises(RequestError) as caught:
                await anext(events)
            assert caught.value.failure.kind is ErrorKind.GENERATION_LOST
            assert bench.relay.over

    asyncio.run(run())


def test_a_frozen_engine_is_given_up_sooner_than_a_full_one():
    """Its process is stopped: the kernel takes connections, nothing answers.

    An engine that queues answers the request by its headers, and may take
    long; one that answers nothing has to be left.
    """
    short = attrs.evolve(SHORT, start=0.2, lost=0.3, quiet=1e6)
    error, bench = fail(fake.hang_before_headers, patience=short)
    assert "reached" in error.failure.message
    assert error.failure.ran is Ran.UNKNOWN
    assert len(bench.engine.posts) == 1


def test_a_generation_read_by_another_entry_is_not_cancelled():
    """The caller went on at another entry; this one still had its stream.

    Its link to the engine broke and it attached anew, after the other: by
    its number alone its cancel would end the other's stream.
    """

    def attach(number, script):
        async def play(reader):
            opened = reader.open
            reader.open = lambda: opened(attach=number)
            return await script(reader)

        return play

    async def run():
        for number, cancels in ((2, 1), (3, 0)):
            first = attach(1, fake.cut_at(2))
            second = attach(number, fake.hang_at(4))
            async with Bench(first, second) as bench:
                await bench.relay.dispatch("completions", {})
                async for data in bench.relay.read():
                    if b".3\n" in data:
                        break
                await bench.relay._client.cancel()
                assert len(bench.engine.cancels) == cancels

    asyncio.run(run())


def test_a_stop_order_ends_the_stream_with_its_hint():
    async def run():
        async with Bench(fake.hang_at(3)) as bench:
            await bench.relay.dispatch("completions", {})
            events = bench.relay.read()
            await anext(events)
            bench.relay.stop(4.0)
            with pytest.raises(RequestError) as caught:
                await anext(events)
            failure = caught.value.failure
            assert failure.kind is ErrorKind.STOPPED_EARLY
            assert failure.retry_after.total_seconds() == 4
            assert failure.ran is Ran.YES

    asyncio.run(run())


def test_a_slow_caller_is_not_taken_for_a_silent_engine(monkeypatch):
    """The caller takes an event late; nobody reads the link meanwhile."""
    looks = []
    look = Watchdog._look

    def note(self):
        looks.append(1)
        look(self)

    monkeypatch.setattr(Watchdog, "_look", note)

    async def run():
        async with Bench(fake.whole) as bench:
            await bench.relay.dispatch("completions", {})
            async for _ in bench.relay.read():
                while len(looks) < 3:
                    await asyncio.sleep(0.01)
            assert bench.losses("stalled") == 0
            assert not bench.engine.resumes

    asyncio.run(run())
