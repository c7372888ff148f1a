"""CPU and bytes of a renewal at the leader, at growing member counts.

Run with ``python packages/node/benchmarks/renewals.py``; the leader's own
code, with the frames encoded and decoded but no sockets.  "quiet" renews
with nothing new; "change" is a round of renewals that acknowledges one.
Bytes are equal in each run; CPU times are trials, bound to the machine.
"""

import time
import types

from chivepier.membership import Freshness
from chivepier.membership import LeaseTerms
from chivepier.messages import ChangeCommand
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.messages import InForceCommand
from chivepier.messages import JoinCommand
from chivepier.messages import Member
from chivepier.messages import RenewRequest
from chivepier.node.leadership import Leadership
from chivepier.state import Machine
from chivepier.types import SystemClock
from chivepier.wire.frame import dump_frame
from chivepier.wire.frame import load_frame
from chivepier.wire.frame import pack_part
from chivepier.wire.frame import Part

COUNTS = (8, 50, 100, 200, 430)
ROUNDS = 20
INCARNATION = 1_796_000_000_000


def make_member(number: int) -> Member:
    """Return a member with names of usual length."""
    host = f"10.20.{number // 250}.{number % 250}"
    node = f"{number:08x}"
    return Member(
        node,
        INCARNATION,
        f"entry-{number}",
        "local",
        "a",
        f"{host}:8080",
        f"{host}:8081",
        False,
    )


def make_leadership(members: list[Member]) -> Leadership:
    """Build a leader whose machine holds the members."""
    clock = SystemClock()
    machine = Machine()
    terms = LeaseTerms()
    storage = types.SimpleNamespace(term=1, term_at=lambda index: 1)
    replica = types.SimpleNamespace(
        leads=lambda: True, storage=storage, commit=0
    )

    async def send(peer, value):
        return None

    cluster = types.SimpleNamespace(
        clock=clock,
        terms=terms,
        machine=machine,
        replica=replica,
        identity=types.SimpleNamespace(node=members[0].node),
        incarnation=INCARNATION,
        peer_address="",
        in_force=0,
        freshness=Freshness(clock, terms),
        links=types.SimpleNamespace(send=send),
    )
    leadership = Leadership(cluster)
    leadership._announce = lambda version: None
    for member in members:
        apply(machine, JoinCommand(member))
    apply(machine, InForceCommand(machine.epoch))
    return leadership


def apply(machine: Machine, command) -> None:
    """Apply one command."""
    machine.apply(Entry(1, machine.index + 1, encode(command)))


def renew(leadership: Leadership, member: Member, version: int) -> int:
    """Renew once, through the frames; return the bytes of both."""
    request = RenewRequest(member, version)
    asked = dump_frame([pack_part(Part.REQUEST, 1, request)])
    ((_, _, request),) = load_frame(asked)
    answer = leadership.handle_renew(request)
    answered = dump_frame([pack_part(Part.ANSWER, 1, answer)])
    return len(asked) + len(answered)


def measure(count: int) -> tuple[float, float, float]:
    """Return bytes, and CPU us a renewal, quiet and with a change."""
    members = [make_member(number) for number in range(count)]
    leadership = make_leadership(members)
    machine = leadership._cluster.machine
    for member in members:
        size = renew(leadership, member, machine.version)
    start = time.process_time()
    for _ in range(ROUNDS):
        for member in members:
            renew(leadership, member, machine.version)
    quiet = time.process_time() - start
    start = time.process_time()
    for number in range(ROUNDS):
        apply(machine, ChangeCommand(f"c{number}", "", ()))
        for member in members:
            renew(leadership, member, machine.version)
    change = time.process_time() - start
    done = ROUNDS * count
    return size, quiet / done * 1e6, change / done * 1e6


def main() -> None:
    """Print a row for each member count."""
    renewals = 1 / LeaseTerms().renew
    print("members  bytes  quiet us  change us  leader bytes/s  core %")
    for count in COUNTS:
        size, quiet, change = measure(count)
        print(
            f"{count:7}  {size:5.0f}  {quiet:8.1f}  {change:9.1f}"
            f"  {size * count * renewals:14.0f}"
            f"  {quiet * count * renewals / 1e4:6.2f}"
        )


if __name__ == "__main__":
    main()
