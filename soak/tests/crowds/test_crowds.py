"""Tests of processes among clients that stay outside the limits.

They run one at a time: each measures one process.
"""

import pytest

from soak.crowds import SHAPES
from soak.crowdscenario import CrowdScenario
from soak.crowdscenario import MAX_SOCKETS
from soak.crowdscenario import MEMORY_MB

CALLERS, READY, METRICS, FORWARDS = 8740, 8749, 9464, 7201
CONTROL, DIRECTORY, PEERS = 8748, 8746, 7200
ENTRY_PORTS = {"ready": READY, "metrics": METRICS, "forwards": FORWARDS}
VOTER_PORTS = {"control": CONTROL, "directory": DIRECTORY, "peers": PEERS}
OTHER_PORTS = {name: ("entry", port) for name, port in ENTRY_PORTS.items()} | {
    name: ("voter", port) for name, port in VOTER_PORTS.items()
}
# At ports that share their reader with that of the callers.
COMMON_SHAPES = ("empty-lines", "lines", "short-chunks", "requests-unread")
# Such clients cost little at a time, but for as long as they like.
STANDING_SHAPES = (
    "nothing",
    "empty-lines",
    "empty-lines-drip",
    "empty-lines-after",
    "field-spaces",
    "head-drip",
    "head-then-nothing",
    "chunk-size",
    "chunk-extension",
    "trailers",
)


def pick(scenario: CrowdScenario, role: str):
    """Return the process of a role that the crowd is at."""
    return scenario.entry if role == "entry" else scenario.voters[0]


async def check_press(scenario, session, role, port, shape) -> None:
    """Let a crowd press; check the process, and one answer afterwards."""
    process = pick(scenario, role)
    meter = await scenario.press(process, port, SHAPES[shape])
    print(f"{meter.memory_mb:.0f} MB, {meter.sockets} sockets")
    assert process.alive
    assert meter.memory_mb < MEMORY_MB
    assert meter.sockets <= MAX_SOCKETS
    assert (await scenario.call(session)).status == 200
    if role == "voter":
        assert await scenario.ask_voter(session, process) == 200
    assert process.alive


@pytest.mark.parametrize("shape", SHAPES)
def test_crowd_of_callers_costs_an_entry_bounded_memory(shape, crowds):
    # What came was kept without a bound, parsed all at once, or both.
    async def test(scenario, session):
        await check_press(scenario, session, "entry", CALLERS, shape)

    crowds.play(test)


@pytest.mark.parametrize("shape", COMMON_SHAPES)
@pytest.mark.parametrize("port", OTHER_PORTS)
def test_crowd_at_another_port_costs_bounded_memory(port, shape, crowds):
    # The same at the ports that are not for callers.
    async def test(scenario, session):
        await check_press(scenario, session, *OTHER_PORTS[port], shape)

    crowds.play(test)


@pytest.mark.parametrize("shape", STANDING_SHAPES)
def test_clients_that_bring_no_request_are_closed(shape, crowds):
    # Each cost a descriptor for as long as it liked.
    async def test(scenario, session):
        await scenario.hold(scenario.entry, CALLERS, SHAPES[shape])
        assert (await scenario.call(session)).status == 200

    crowds.play(test)


@pytest.mark.parametrize("port", OTHER_PORTS)
def test_silent_clients_at_another_port_are_closed(port, crowds):
    # The same at the ports that are not for callers.
    async def test(scenario, session):
        role, number = OTHER_PORTS[port]
        process = pick(scenario, role)
        await scenario.hold(process, number, SHAPES["nothing"])
        assert (await scenario.call(session)).status == 200

    crowds.play(test)
