"""What an owner grants, counts and takes back."""

import asyncio
import itertools

import attrs

from chivepier.messages import Announcement
from chivepier.messages import InflightPermit
from chivepier.messages import PermitOutcome
from chivepier.messages import PermitRequest
from chivepier.messages import ProgressReport
from chivepier.messages import ReleaseReport
from chivepier.messages import TargetLoad
from chivepier.node.directory import Directory
from chivepier.node.lostpermits import ORPHAN_SECONDS
from chivepier.node.lostpermits import REPORT_LAG_SECONDS
from chivepier.node.shard import Shard
from chivepier.policy import Stop
from chivepier.state import Machine
from chivepier.types import ManualClock

ENTRY = "10.0.0.1:9"
HOLDER = "aa.1"
DEAD = "bb.1"
OTHER = "cc.1"


def make_announcement(target="t", incarnation=1, sequence=1, **fields):
    """Announce an engine with two streams."""
    plain = Announcement(
        target,
        incarnation,
        sequence,
        "engine",
        "p",
        f"{target}:1",
        "z",
        ("m",),
        (),
        "serve",
        False,
        1000,
        2,
        TargetLoad(fields.pop("running", 0), 0, 0, 0),
        (),
        False,
    )
    return attrs.evolve(plain, **fields)


def make_request(number, holder=HOLDER, patience=30.0):
    """Ask for model m."""
    return PermitRequest(
        f"{holder}.{number}",
        "p",
        0,
        "team",
        "template",
        "m",
        "",
        1,
        10,
        10,
        (),
        "z",
        ENTRY,
        patience,
        (),
    )


def make_inflight(permit, holder=HOLDER):
    """Report a permit in flight at target t."""
    request = f"{holder}.{permit}"
    return InflightPermit(request, permit, "t", "team", "x", 1, 10, 10, 3)


class Bench:
    """A shard with its clock; ``admits`` stands for the node's lease."""

    def __init__(self):
        self.clock = ManualClock()
        self.admits = True
        self.stops = []
        self.sequence = itertools.count(1)
        self.shard = Shard(
            "p",
            0,
            self.clock,
            Directory(Machine()),
            epoch=1,
            era=1,
            numbers=itertools.count(100),
            may_admit=lambda _: self.admits,
            order_stop=lambda entry, order: self.stops.append((entry, order)),
        )

    def announce(self, **fields):
        """Let target t announce itself."""
        sequence = next(self.sequence)
        self.shard.announce(make_announcement(sequence=sequence, **fields))

    def ask(self, number, holder=HOLDER):
        """Ask, and return the answer if there is one."""
        future = self.shard.request(make_request(number, holder))
        return future.result() if future.done() else None

    def pass_time(self, seconds, live=(HOLDER,), **fields):
        """Let time pass as the target goes on announcing itself."""
        while seconds > 0:
            self.clock.advance(0.5)
            seconds -= 0.5
            self.announce(**fields)
            self.shard.watch(set(live))
            self.shard.expire()


def run_async(work):
    """Run a test body in a loop."""
    asyncio.run(work())


def test_new_owner_grants_nothing_before_it_knows_what_is_in_flight():
    """An owner dies with two streams in flight at an engine of two.

    Callers would see preemptions: the next owner, knowing of no stream,
    admits two more.  It takes requests in, hears from the entries, and only
    then admits.
    """

    async def body():
        bench = Bench()
        bench.announce(running=2)
        future = bench.shard.request(make_request(1))
        assert not future.done()
        bench.shard.adopt(HOLDER, ENTRY, (make_inflight(7), make_inflight(8)))
        bench.shard.open()
        assert not future.done()
        report = ReleaseReport(ENTRY, "p", 0, 7, 5, 0)
        bench.shard.release(report)
        assert future.done() and future.result().target == "t"

    run_async(body)


def test_owner_without_a_lease_grants_nothing():
    """A process is stopped for longer than its lease, then continued.

    Another owner has admitted up to the limit meanwhile.  The lease is
    looked at with each decision, not when the request came.
    """

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        bench.admits = False
        future = bench.shard.request(make_request(1))
        bench.shard.expire()
        assert not future.done()
        bench.shard.close()
        assert future.result().error == "not_ready"

    run_async(body)


def test_generations_that_nobody_reports_are_counted():
    """The dead node was owner and entry: nobody can name its streams.

    Its engine still runs them.  What the engine reports beyond what is
    known stays counted until its reports show the end.
    """

    async def body():
        bench = Bench()
        bench.announce(running=2)
        bench.shard.open()
        future = bench.shard.request(make_request(1))
        assert not future.done()
        bench.pass_time(REPORT_LAG_SECONDS + 1, running=2)
        assert not future.done()
        bench.pass_time(0.5, running=1)
        assert future.done() and not future.result().error

    run_async(body)


def test_dead_entrys_permits_count_until_the_target_shows_their_end():
    """An entry dies; its engine decodes on for callers that may resume.

    Freed at once, the engine would be filled over its limit.
    """

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        assert bench.ask(1, DEAD) and bench.ask(2, DEAD)
        bench.pass_time(ORPHAN_SECONDS + 1, running=2)
        waiting = bench.shard.request(make_request(3))
        assert not waiting.done()
        bench.pass_time(0.5, running=1)
        assert waiting.done()

    run_async(body)


def test_dead_entrys_permits_end_in_bounded_time_without_reports():
    """Entry and target die together: no report will ever come."""

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        bench.ask(1, DEAD)
        bench.clock.advance(10)
        bench.shard.expire()
        bench.shard.watch(set())
        assert len(bench.shard.book) == 1
        bench.clock.advance(ORPHAN_SECONDS + 1)
        bench.shard.watch(set())
        assert len(bench.shard.book) == 0

    run_async(body)


def test_resume_at_another_entry_takes_the_lost_permits_place():
    """A caller resumes at a second entry after the first one died.

    Counted twice, the generation would hold two streams' room.
    """

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        bench.ask(1, DEAD)
        bench.shard.watch({HOLDER})
        answer = bench.shard.resume(make_request(2), "t", 4)
        (record,) = bench.shard.book
        assert record.permit == answer.permit
        assert record.holder == HOLDER

    run_async(body)


def test_resume_moves_the_permit_while_its_first_entry_lives():
    """A caller's link to a live entry breaks; it goes on at another one.

    Counted at both, the generation would hold two streams' room; its stop
    order must go where its caller is, and the first entry's release, which
    comes early, must not free memory that is in use.
    """

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        first = bench.ask(1)
        other = bench.ask(2, DEAD)
        bench.shard.watch({HOLDER})
        asked = attrs.evolve(make_request(3, OTHER), entry="other:1")
        answer = bench.shard.resume(asked, "t", 4, first.permit)
        assert answer.permit == first.permit and len(bench.shard.book) == 2
        assert bench.shard.book.get(other.permit) is not None
        record = bench.shard.book.get(first.permit)
        assert (record.holder, record.entry) == (OTHER, "other:1")
        bench.shard.release(ReleaseReport(HOLDER, "p", 0, first.permit, 4, 2))
        assert bench.shard.book.get(first.permit) is record
        bench.shard.release(ReleaseReport(OTHER, "p", 0, first.permit, 9, 0))
        assert bench.shard.book.get(first.permit) is None

    run_async(body)


def test_grant_that_crossed_a_cancel_is_taken_back():
    """The caller leaves while the grant is on its way to the entry."""

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        request = make_request(1)
        assert bench.shard.request(request).done()
        bench.shard.cancel(request.request)
        assert len(bench.shard.book) == 0
        assert bench.ask(2) and bench.ask(3)

    run_async(body)


def test_release_that_was_lost_is_found_by_comparing():
    """A link is lost with the release on it; the room would leak.

    A permit granted a moment ago may be missing from the list because its
    grant is still on its way: it stays.
    """

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        first = bench.ask(1)
        bench.clock.advance(2)
        second = bench.ask(2)
        before = bench.clock.monotonic() - 1
        bench.shard.reconcile(HOLDER, (), before)
        assert bench.shard.book.get(first.permit) is None
        assert bench.shard.book.get(second.permit) is not None

    run_async(body)


def test_second_release_of_a_permit_changes_nothing():
    """A release is sent again after a reconnect."""

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        first, second = bench.ask(1), bench.ask(2)
        report = ReleaseReport(ENTRY, "p", 0, first.permit, 1, 0)
        bench.shard.release(report)
        bench.shard.release(report)
        assert [r.permit for r in bench.shard.book] == [second.permit]
        assert bench.ask(3) is not None
        assert bench.ask(4) is None

    run_async(body)


def test_old_run_of_a_target_does_not_undo_its_leaving():
    """An announcement of an earlier run arrives after the leaving one.

    It was held up on a link.  Also once the target is forgotten because it
    ended, the old words must not bring it back.
    """

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.shard.announce(make_announcement(incarnation=2, leaving=True))
        late = make_announcement(incarnation=1, sequence=99)
        assert not bench.shard.announce(late)
        assert bench.ask(1).error == "no_target"
        bench.clock.advance(60)
        bench.shard.expire()
        assert not bench.shard.announce(late)
        assert bench.ask(2).error == "no_target"

    run_async(body)


def test_late_permit_for_a_leaving_target_is_not_confirmed():
    """A grant was held up on a link while its target announced leaving."""

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        permit = bench.ask(1).permit
        assert bench.shard.confirm(permit)
        bench.announce(leaving=True)
        assert not bench.shard.confirm(permit)

    run_async(body)


def test_permit_of_an_earlier_owner_is_not_confirmed():
    """The grant of an owner that is gone arrives at last."""

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        assert not bench.shard.confirm(7)

    run_async(body)


def test_stop_order_is_sent_until_the_permit_ends():
    """The first order is lost with its link; the engine would overflow."""

    async def body():
        bench = Bench()
        bench.shard.open()
        bench.announce()
        permit = bench.ask(1).permit
        bench.shard.policy.decide = lambda: [Stop(permit, 2.0)]
        bench.shard.settle()
        assert [entry for entry, _ in bench.stops] == [ENTRY]
        bench.pass_time(3)
        sent = len(bench.stops)
        assert sent > 1
        bench.shard.policy.decide = lambda: []
        outcome = int(PermitOutcome.CANCELLED)
        bench.shard.release(ReleaseReport(ENTRY, "p", 0, permit, 1, outcome))
        bench.pass_time(3)
        assert len(bench.stops) == sent

    run_async(body)


def test_progress_of_an_unknown_permit_is_told():
    """An entry streams on under a permit that this owner missed."""

    async def body():
        bench = Bench()
        bench.shard.open()
        assert not bench.shard.progress(
            ProgressReport(HOLDER, "p", 0, ((7, 3),))
        )
        bench.shard.adopt(HOLDER, ENTRY, (make_inflight(7),))
        assert bench.shard.progress(ProgressReport(HOLDER, "p", 0, ((7, 4),)))

    run_async(body)
