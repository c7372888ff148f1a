"""Histories of failures, played against the invariants."""

import asyncio
import random

from chivepier.messages import ChangeCommand
from chivepier.messages import ClaimCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Voter
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError
from chivepier.state import Role
from chivepier.state.testing.rig import Rig
from chivepier.types import RequestError

# the last one is whoever leads: most failures that matter meet the leader
VOTERS = (0, 1, 2, 3, 3)
KINDS = "change change claim crash start start cut unlink unlink heal heal"
KINDS = (KINDS + " storm pass pass pass").split()
LENGTH = 40


def draw_history(rng: random.Random) -> list[tuple]:
    """Draw a history.

    :param rng: seeded
    :returns: actions for :func:`play`
    """
    return [draw_action(rng) for _ in range(LENGTH)]


def draw_action(rng: random.Random) -> tuple:
    """Draw one action.

    :param rng: seeded
    :returns: its kind and arguments
    """
    kind, voter = rng.choice(KINDS), rng.choice(VOTERS)
    match kind:
        case "change" | "claim":
            return kind, voter, rng.randrange(4)
        case "cut":
            return kind, voter, rng.random() < 0.4
        case "unlink":
            return kind, voter, rng.choice(VOTERS)
        case "storm":
            return kind, rng.randrange(4)
        case "pass":
            return kind, rng.randint(1, 40)
        case "heal":
            return (kind,)
    return kind, voter


def make_change(change_id: str, base: int = 0, spec: bytes = b"spec") -> bytes:
    """Make a change of one document.

    :param change_id: also the document's name
    :param base: the version it is based on
    :param spec: the document's content
    :returns: the encoded command
    """
    edit = Edit("team", change_id, base, spec)
    return encode(ChangeCommand(change_id, "op", (edit,)))


class Client:
    """Proposes at one voter and notes what it is answered."""

    def __init__(self, rig: Rig):
        self._rig = rig
        self._count = 0
        self._repair: asyncio.Task | None = None
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

    def lose(self, voter: str) -> None:
        """Lose a disk for good and have the voter replaced.

        Another one is lost only after the voters were said to be repaired.
        """
        if self._repair is not None and not self._repair.done():
            return
        if voter in self._rig.replicas:
            self._rig.crash(voter)
        self._rig.wipe(voter)
        self._count += 1
        self._repair = asyncio.create_task(
            self._replace(voter, f"w{self._count}")
        )
        self.tasks.append(self._repair)

    async def _replace(self, old: str, new: str) -> None:
        rig = self._rig
        await rig.start(new)
        while True:
            leader = rig.find_leader()
            try:
                if leader is not None:
                    await leader.changes.add(Voter(new, new))
                    await leader.changes.remove(old)
                    if leader.changes.repaired():
                        return
            except (NotLeaderError, LostLeadError, RequestError):
                pass
            await rig.clock.sleep(rig.timing.heartbeat)

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
    names = sorted(rig.disks)
    leads = [n for n, r in rig.replicas.items() if r.role is Role.LEADER]
    if number < 3 or not leads:
        return names[number % len(names)]
    return leads[-1]


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
        case "refuse":
            rig.disks[voter].refuses = True
        case "accept":
            accept_writes(rig)
        case "lose":
            client.lose(voter)
        case "storm":
            rig.network.loss = 0.05 * rest[0]
            rig.network.repeat = 0.2 * rest[0]
            rig.network.slowest = 0.01 + 0.15 * rest[0]
        case "pass":
            await rig.step(0.05 * rest[0])


def accept_writes(rig: Rig) -> None:
    """Let all disks accept writes."""
    for disk in rig.disks.values():
        disk.refuses = False


async def settle(rig: Rig, client: Client) -> None:
    """End every failure; check that all that was accepted is there."""
    accept_writes(rig)
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
