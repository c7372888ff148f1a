"""Tests of backoff and leaving signals that only answers carry."""

import asyncio
import contextlib
import random
import socket
import struct
import time

import pytest

from soak.answerfaults import AnswerFault
from soak.blocks import reserve_block
from soak.invariantchecker import InvariantChecker
from soak.proxy import Proxy
from soak.signalchecker import IN_FLIGHT_SECONDS
from soak.signalchecker import make_sender_headers
from soak.signalchecker import SignalChecker
from soak.target import SoakTarget
from soak.targetlink import TargetLink
from soak.trafficscenario import TrafficScenario

REST_SECONDS = 3.0
# Callers per entry, and seconds between two requests of a caller: so few that
# the failure rate excludes a target only after more than half a second.
CALLERS = 2
PAUSE_SECONDS = 0.3
# Seconds for which targets send the signals.
FULL_SECONDS = 7.0


def run_scenario(folder, entries: int, work) -> TrafficScenario:
    """Run real processes and callers during a test's coroutine.

    :param folder: directory for settings, data and logs
    :param entries: number of entries
    :param work: coroutine function of the test, called with the targets
    """

    async def run(block: int) -> TrafficScenario:
        callers = CALLERS * entries
        scenario = TrafficScenario(
            folder, block, 1, entries, callers, PAUSE_SECONDS
        )
        async with asyncio.timeout(60), scenario.run():
            await asyncio.sleep(1.0)
            scenario.replies.clear()
            await work(scenario.targets)
        return scenario

    with reserve_block() as block:
        return asyncio.run(run(block))


@pytest.mark.parametrize("entries", (1, 3))
def test_backoff_of_a_target_is_respected(entries, tmp_path):
    # Targets got three requests from an entry within its backoff of 3 s.
    async def work(targets):
        for target in targets[:2]:
            target.fault_mode, target.signals.rest = "shed", REST_SECONDS
        await asyncio.sleep(FULL_SECONDS)

    scenario = run_scenario(tmp_path, entries, work)
    for target in scenario.targets[:2]:
        assert target.signals.refusals > 0
        assert target.signals.violations == []
    assert {reply.status for reply in scenario.replies} == {200}


@pytest.mark.parametrize("entries", (1, 3))
def test_leaving_target_gets_no_new_requests(entries, tmp_path):
    # A target that announced only in answers that it was leaving got requests
    # until its end.
    async def work(targets):
        for target in targets[:2]:
            target.signals.is_leaving = True
        await asyncio.sleep(FULL_SECONDS)

    scenario = run_scenario(tmp_path, entries, work)
    for target in scenario.targets[:2]:
        assert target.runs > 0
        assert target.signals.violations == []
    assert {reply.status for reply in scenario.replies} == {200}


def test_ignored_signals_are_reported():
    signals = SignalChecker(rest=3.0, is_leaving=True)
    signals.record_answer("e1", True, 10.0)
    signals.check_arrival("e1", 10.3, 10.4)
    signals.check_arrival("e2", 11.0, 11.0)
    assert signals.violations == []
    signals.check_arrival("e1", 10.4, 12.9)
    assert len(signals.violations) == 1
    signals.check_arrival("e1", 13.1, 13.1)
    assert len(signals.violations) == 2
    signals.is_excused = lambda entry, since: True
    signals.check_arrival("e1", 12.9, 12.9)
    assert len(signals.violations) == 2


async def ask(target: SoakTarget, identity: str, reader, writer) -> str:
    """Send a request; return the id that the answer names."""
    headers = make_sender_headers("e1") | {
        "X-Chivepier-Request-Id": identity,
        "X-Chivepier-Expect-Instance": target.instance,
        "Host": "h.example",
    }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["GET /once/x HTTP/1.1", *lines])
    writer.write(head.encode() + b"\r\n\r\n")
    return await read_id(reader)


async def read_id(reader: asyncio.StreamReader) -> str:
    """Read an answer; return the id that it names."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    fields = dict(line.split(": ") for line in head.split("\r\n")[1:-2])
    await reader.readexactly(int(fields["Content-Length"]))
    return fields.get("X-Chivepier-Request-Id", "")


async def ask_crossed(target: SoakTarget, fault: AnswerFault) -> None:
    """Ask for rest behind the second answer to an earlier request."""
    host, port = target.address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(writer):
        target.answer_faults.kinds, target.answer_faults.share = (fault,), 1.0
        assert await ask(target, "a", reader, writer) == "a"
        if fault is AnswerFault.LATE:
            assert await read_id(reader) == "a"
        target.answer_faults.kinds = ()
        target.signals.overloaded, target.signals.rest = True, REST_SECONDS
        got = await ask(target, "b", reader, writer)
        match fault:
            case AnswerFault.LATE:
                assert got == "b"
            case _:
                assert got != "b" and await read_id(reader) == "b"


@pytest.mark.parametrize(
    "fault", (AnswerFault.REPEATED, AnswerFault.UNNAMED, AnswerFault.LATE)
)
def test_backoff_behind_a_second_answer_is_not_held_against_an_entry(fault):
    # An entry closes a connection that brings a foreign answer, and counted as
    # asked to wait by the one behind it.
    async def work(target: SoakTarget) -> None:
        async with target:
            await ask_crossed(target, fault)
            now = time.monotonic()
            target.signals.check_arrival("e1", now, now + 1.0)
            assert target.signals.violations == []
            host, port = target.address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(writer):
                assert await ask(target, "c", reader, writer) == "c"
            target.signals.check_arrival("e1", now, now + 1.0)
            assert len(target.signals.violations) == 1

    with reserve_block() as block:
        asyncio.run(work(make_lone_target(block)))


def make_lone_target(block: int) -> SoakTarget:
    """Return a target that announces itself to nobody."""
    address = f"127.{block}.3.1:8080"
    checker = InvariantChecker()
    return SoakTarget(address, address, [], checker, random.Random(1))


@contextlib.asynccontextmanager
async def follow(target: SoakTarget, block: int):
    """Run a target behind a link and a proxy; yield the link's address."""
    rng, known = random.Random(1), target.senders
    proxy = Proxy(f"127.{block}.4.1:8080", target.address, rng)
    link = TargetLink(f"127.{block}.5.1:8080", proxy.address, rng)
    proxy.senders = link.senders = known
    link.entry = "e1"
    async with target, proxy, link:
        yield link.address.split(":")


def test_backoff_begins_as_it_leaves_and_requests_count_as_they_arrive():
    # A soak whose own loop stood still for 0.6 s held sends of that time
    # against an entry, which could not know of the rest yet.
    async def work(block: int) -> None:
        target = make_lone_target(block)
        async with follow(target, block) as (host, port):
            first = await asyncio.open_connection(host, int(port))
            second = await asyncio.open_connection(host, int(port))
            target.signals.overloaded, target.signals.rest = True, REST_SECONDS
            answer = asyncio.create_task(ask(target, "a", *first))
            while not target.signals.refusals:
                await asyncio.sleep(0)
            late = asyncio.create_task(ask(target, "b", *second))
            await asyncio.sleep(0)
            time.sleep(IN_FLIGHT_SECONDS + 0.1)
            assert [await answer, await late] == ["a", "b"]
            assert target.signals.violations == []
            await asyncio.sleep(IN_FLIGHT_SECONDS + 0.1)
            await ask(target, "c", *second)
            # both refusals were heard by then
            assert len(target.signals.violations) == 2
            for _, writer in (first, second):
                writer.close()

    with reserve_block() as block:
        asyncio.run(work(block))


async def reset_while_asked(target: SoakTarget, host, port, turns) -> bool:
    """Send a request and reset its connection some turns of the loop later.

    :returns: whether any byte of the answer was there before
    """
    headers = make_sender_headers("e1") | {
        "X-Chivepier-Request-Id": "a",
        "X-Chivepier-Expect-Instance": target.instance,
        "Host": "h.example",
    }
    lines = [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join(["GET /once/x HTTP/1.1", *lines])
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(head.encode() + b"\r\n\r\n")
        sock.setblocking(False)
        for _ in range(turns):
            await asyncio.sleep(0)
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False


def test_backoff_that_finds_its_connection_reset_is_not_held_against_it():
    # A link that had seen the reset was forgotten before it reset the proxy,
    # which then counted as the entry itself.
    async def work(block: int) -> None:
        target = make_lone_target(block)
        seen = set()
        async with follow(target, block) as (host, port):
            target.signals.overloaded, target.signals.rest = True, REST_SECONDS
            for turns in (*range(40), 200):
                target.signals.reset()
                target.signals.overloaded = True
                target.signals.rest = REST_SECONDS
                heard = await reset_while_asked(target, host, port, turns)
                await asyncio.sleep(0.05)
                now = time.monotonic()
                target.signals.violations.clear()
                target.signals.check_arrival("e1", now, now + 1.0)
                assert bool(target.signals.violations) is heard, turns
                seen.add(heard)
        assert seen == {True, False}

    with reserve_block() as block:
        asyncio.run(work(block))
