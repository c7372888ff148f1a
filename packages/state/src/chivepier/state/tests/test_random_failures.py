"""Random failures against the invariants of the replicated log.

Voters crash, lose unsynced writes, are cut off and come back, while messages
are lost, repeated, delayed and so reordered.  At every moment there is at
most one leader of a term and one valid leader lease; a committed entry stays;
at the end everything that was answered as accepted is there.
"""

import asyncio

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st

from chivepier.messages import ChangeCommand
from chivepier.messages import ClaimCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError
from chivepier.state import Role
from chivepier.state.testing import Rig

ROUGH = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=list(HealthCheck),
)

# 3 is whoever leads at the moment: most failures that matter meet the leader
VOTERS = st.integers(0, 3)
ACTION = st.one_of(
    st.tuples(st.just("change"), VOTERS, st.integers(0, 3)),
    st.tuples(st.just("claim"), VOTERS, st.integers(0, 3)),
    st.tuples(st.just("crash"), VOTERS),
    st.tuples(st.just("start"), VOTERS),
    st.tuples(st.just("cut"), VOTERS, st.booleans()),
    st.tuples(st.just("unlink"), VOTERS, VOTERS),
    st.tuples(st.just("heal")),
    st.tuples(st.just("storm"), st.integers(0, 3)),
    st.tuples(st.just("pass"), st.integers(1, 40)),
)


class Client:
    """Proposes at one voter and notes what it is answered."""

    def __init__(self, rig: Rig):
        self._rig = rig
        self._count = 0
        self.tasks: list[asyncio.Task] = []

    def _ask(self, voter: str, command, note) -> None:
        replica = self._rig.replicas.get(voter)
        if replica is not None:
            work = self._run(replica, command, note)
            self.tasks.append(asyncio.create_task(work))

    async def _run(self, replica, command, note) -> None:
        try:
            answer = await replica.propose(encode(command))
        except (NotLeaderError, LostLeadError):
            return
        if not answer.error:
            note(answer)

    def change(self, voter: str, number: int) -> None:
        """Change one document on top of what this voter knows."""
        replica = self._rig.replicas.get(voter)
        if replica is None:
            return
        self._count += 1
        name = f"t{number}"
        known = replica.machine.documents.get(("team", name))
        base = known.version if known else 0
        edit = Edit("team", name, base, b"%d" % self._count)
        command = ChangeCommand(f"c{self._count}", voter, (edit,))
        checker = self._rig.checker
        self._ask(
            voter, command, lambda a: checker.note_version(name, a.index)
        )

    def claim(self, voter: str, number: int) -> None:
        """Claim one of few keys for a new request."""
        self._count += 1
        request, key = f"r{self._count}", f"k{number}"
        command = ClaimCommand("a", key, b"d", request, voter, 1, 0)
        checker = self._rig.checker
        self._ask(
            voter, command, lambda a: checker.note_grant("a", key, request)
        )


def find_voter(rig: Rig, number: int) -> str:
    """Name a voter by its number."""
    if number < 3:
        return f"v{number}"
    leads = [n for n, r in rig.replicas.items() if r.role is Role.LEADER]
    return leads[-1] if leads else "v0"


async def act(rig: Rig, client: Client, action: tuple) -> None:
    """Do one action of a drawn history."""
    kind, *rest = action
    voter = find_voter(rig, rest[0]) if rest else ""
    match kind:
        case "change":
            client.change(voter, rest[1])
        case "claim":
            client.claim(voter, rest[1])
        case "crash" if voter in rig.replicas:
            rig.crash(voter)
        case "start" if voter not in rig.replicas:
            await rig.start(voter)
        case "cut":
            rig.isolate(voter, rest[1])
        case "unlink":
            rig.unlink(voter, find_voter(rig, rest[1]))
        case "heal":
            rig.network.cut.clear()
        case "storm":
            rig.network.loss = 0.05 * rest[0]
            rig.network.repeat = 0.2 * rest[0]
            rig.network.slowest = 0.01 + 0.15 * rest[0]
        case "pass":
            await rig.step(0.05 * rest[0])


async def settle(rig: Rig, client: Client) -> None:
    """End every failure; check that all that was accepted is there."""
    rig.network.cut.clear()
    rig.network.loss = rig.network.repeat = 0.0
    rig.network.slowest = 0.01
    for name in rig.disks:
        if name not in rig.replicas:
            await rig.start(name)
    await rig.wait(lambda: all(task.done() for task in client.tasks))
    for task in client.tasks:
        task.result()
    leader = await rig.await_leader()
    replicas = list(rig.replicas.values())
    await rig.wait(
        lambda: all(r.machine.index >= leader.machine.index for r in replicas)
    )
    for replica in replicas:
        for name, version in rig.checker.versions.items():
            document = replica.machine.documents.get(("team", name))
            assert document is not None, f"{name} is lost"
            assert document.version >= version, f"{name} reverted"
        for (team, key), request in rig.checker.granted.items():
            claim = replica.machine.claims._claims[team, key]
            assert claim.request == request, f"claim of {key} is lost"


async def play(seed: int, actions: list[tuple], **options) -> None:
    """Play a drawn history from beginning to end."""
    async with Rig(3, seed, **options) as rig:
        client = Client(rig)
        await rig.step(2.5)
        for action in actions:
            await act(rig, client, action)
            await rig.step()
        await settle(rig, client)


@ROUGH
@given(st.integers(0, 1 << 16), st.lists(ACTION, min_size=25, max_size=60))
def test_random_failures_break_no_promise(seed, actions):
    asyncio.run(play(seed, actions))
