"""Short seeded runs of the soak test, and a test of its checker."""

import asyncio

import aiohttp
import pytest

from soak.blocks import reserve_block
from soak.faults import ANSWER_SET
from soak.faults import COLD_SET
from soak.faults import CROWD_SET
from soak.faults import CUT_SET
from soak.faults import FIRST_SET
from soak.faults import HEAVY_SET
from soak.faults import MISREPORT_SET
from soak.faults import NEED_SET
from soak.faults import NEWEST_SET
from soak.faults import REST_SET
from soak.faults import RESTART_SET
from soak.faults import UNHEARD_SET
from soak.faults import UNTITLED_SET
from soak.faults import VERSION_SET
from soak.invariantchecker import InvariantChecker
from soak.invariantchecker import make_expected_body
from soak.partchecker import COUNTED_CRASHES
from soak.partchecker import MAX_LATE_ARRIVALS
from soak.partchecker import PartChecker
from soak.partchecker import PROPAGATION_SECONDS
from soak.run import Soak

# For each seed, the version of the set of faults and the seconds for which
# faults are injected.
SEEDS = {
    1: (FIRST_SET, 6.0),
    2: (FIRST_SET, 6.0),
    3922492142: (FIRST_SET, 14.0),
    5: (RESTART_SET, 6.0),
    11: (COLD_SET, 8.0),
    12: (NEED_SET, 8.0),
    13: (REST_SET, 8.0),
    523424707: (REST_SET, 14.0),
    14: (MISREPORT_SET, 8.0),
    16: (CUT_SET, 8.0),
    17: (VERSION_SET, 8.0),
    20: (ANSWER_SET, 10.0),
    23: (CROWD_SET, 10.0),
    25: (HEAVY_SET, 10.0),
    27: (UNHEARD_SET, 10.0),
    8: (UNTITLED_SET, 10.0),
    29: (NEWEST_SET, 10.0),
}


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_under_faults(seed, tmp_path):
    # Guards every invariant while processes and targets fail.
    kinds, seconds = SEEDS[seed]
    with reserve_block() as block:
        soak = Soak(seed, tmp_path, block, kinds)
        seen = asyncio.run(soak.run(seconds))
    assert seen.violations == []
    assert seen.answered > 50 and seen.acknowledged > 0


def test_refused_requests_never_run_beside_stops_and_cuts(tmp_path):
    # Refusals of targets, sent twice or late, beside entries that stand still
    # or end and links that break.
    with reserve_block() as block:
        soak = Soak(21, tmp_path, block)
        soak.faults.keep_only("misanswer", "freeze", "rest", "cut_off", "stop")
        seen = asyncio.run(soak.run(10.0))
    assert seen.violations == []
    assert seen.answered > 50 and seen.failed > 0


def test_streams_without_a_length_are_whole_or_broken_off(tmp_path):
    # A stream that ended inside an event looked whole to its caller.
    with reserve_block() as block:
        soak = Soak(18, tmp_path, block)
        soak.faults.keep_only("drop_lengths")
        seen = asyncio.run(soak.run(6.0))
    assert seen.violations == []
    assert seen.answered > 50 and seen.failed > 0


@pytest.mark.parametrize("seed, first_number", ((4, 0), (1, 1), (2, 10**6)))
def test_streams_are_whole_whatever_number_they_begin_with(
    seed, first_number, tmp_path
):
    # No event yet was taken for event 0, which was dropped or skipped.
    with reserve_block() as block:
        soak = Soak(seed, tmp_path, block)
        assert soak.checker.first_number == first_number
        soak.faults.keep_only(
            "spoil", "drop_lengths", "kill", "cut_off", "change_version"
        )
        seen = asyncio.run(soak.run(6.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_callers_never_get_what_is_no_answer(tmp_path):
    # Status 000 reached callers, also through another entry.
    with reserve_block() as block:
        soak = Soak(32, tmp_path, block)
        soak.faults.keep_only("misanswer", "cut_off", "kill", "misanswer")
        seen = asyncio.run(soak.run(8.0))
    assert seen.violations == []
    assert seen.answered > 50 and seen.failed > 0


def test_streams_and_calls_hold_beside_crowds_and_targets_that_return(
    tmp_path,
):
    # Clients outside the limits ended a process; and the next process at a
    # target's address vouched for the streams of the one before.
    with reserve_block() as block:
        soak = Soak(24, tmp_path, block)
        soak.faults.keep_only("bear_again", "crowd", "freeze")
        seen = asyncio.run(soak.run(10.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_streams_hold_beside_targets_that_end_unheard(tmp_path):
    # Connections that were not heard to have ended vouched for streams, beside
    # signals, restarts and changes.
    with reserve_block() as block:
        soak = Soak(26, tmp_path, block)
        soak.faults.keep_only(
            "crash_late",
            "freeze",
            "delay_ends",
            "change_version",
            "crash_late",
            "hang_up",
            "kill",
        )
        seen = asyncio.run(soak.run(10.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_streams_are_of_one_version_while_targets_change_over(tmp_path):
    # Streams went on at targets of another software version.
    with reserve_block() as block:
        soak = Soak(19, tmp_path, block)
        soak.faults.keep_only("change_version", "kill")
        seen = asyncio.run(soak.run(8.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_nothing_acknowledged_is_lost_with_a_disk_in_a_blackout(tmp_path):
    # All lose power in the moment in which one of three disks is lost.
    with reserve_block() as block:
        soak = Soak(20, tmp_path, block)
        soak.faults.keep_only("wipe_in_blackout")
        seen = asyncio.run(soak.run(4.0))
    assert seen.violations == []
    assert seen.answered > 50 and seen.acknowledged > 0


def test_restarted_targets_are_used(tmp_path):
    # Restarted targets got no requests.
    with reserve_block() as block:
        soak = Soak(7, tmp_path, block, MISREPORT_SET)
        soak.faults.keep_only("restart_target")
        seen = asyncio.run(soak.run(4.0))
    assert seen.violations == []
    assert any(target.restarted for target in soak.targets)


def test_invalid_announcements_are_rejected(tmp_path):
    # A foreign writer sends invalid announcements, also under the names of
    # targets: all are rejected, and callers are served as before.
    with reserve_block() as block:
        soak = Soak(8, tmp_path, block, MISREPORT_SET)
        soak.faults.keep_only("write_nonsense")
        seen = asyncio.run(soak.run(4.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_evacuated_zones_and_cold_targets_are_spared(tmp_path):
    # Guards against requests to evacuated zones, and against more requests to
    # cold targets than they take.
    with reserve_block() as block:
        soak = Soak(9, tmp_path, block, MISREPORT_SET)
        soak.faults.keep_only("evacuate", "turn_cold", "kill", "freeze")
        seen = asyncio.run(soak.run(12.0))
    assert seen.violations == []
    assert soak.evacuations.acknowledged_orders >= 2 and seen.answered > 50


def test_callers_are_served_beside_untrue_loads(tmp_path):
    # Guards against targets that claim to be full, idle or slow, or report
    # what can't be read, while entries and voters fail.
    with reserve_block() as block:
        soak = Soak(15, tmp_path, block, MISREPORT_SET)
        soak.faults.keep_only("misreport", "kill", "freeze", "stop_entry")
        seen = asyncio.run(soak.run(8.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_rate_limits_hold_under_faults(tmp_path):
    # Guards against requests above the rate limits of targets while processes
    # fail, and against targets that stay unused afterwards.
    with reserve_block() as block:
        soak = Soak(10, tmp_path, block, MISREPORT_SET)
        soak.faults.keep_only("need", "kill", "freeze", "stop", "kill_all")
        seen = asyncio.run(soak.run(14.0))
    assert seen.violations == []
    assert seen.answered > 20


def test_backoffs_and_leaving_targets_are_respected(tmp_path):
    # Guards against requests within a backoff, and against new requests to a
    # leaving target, while processes fail.
    with reserve_block() as block:
        soak = Soak(14, tmp_path, block, MISREPORT_SET)
        soak.faults.keep_only("rest", "leave", "kill", "freeze", "harm_links")
        seen = asyncio.run(soak.run(14.0))
    assert seen.violations == []
    assert seen.answered > 20
    assert sum(target.signals.refusals for target in soak.targets) > 0


def test_callers_are_served_while_entries_are_cut_off(tmp_path):
    # Guards against requests lost or run twice while entries lose their links
    # to targets beside other failures.
    with reserve_block() as block:
        soak = Soak(17, tmp_path, block)
        soak.faults.keep_only("cut_off", "kill", "freeze", "stop_entry")
        seen = asyncio.run(soak.run(14.0))
    assert seen.violations == []
    assert seen.answered > 50


def test_part_that_crashes_targets_is_held_back_beside_other_faults(tmp_path):
    # Guards against requests with the part from entries that were killed or
    # frozen while others learned of the crashes.
    with reserve_block() as block:
        soak = Soak(21, tmp_path, block)
        soak.faults.keep_only("crash_on_part", "kill", "freeze")
        seen = asyncio.run(soak.run(12.0))
    assert seen.violations == []
    assert seen.answered > 20 and soak.part_crashes >= 3


def test_late_requests_with_a_crashing_part_are_reported(monkeypatch):
    now = 0.0
    monkeypatch.setattr("soak.partchecker.time.monotonic", lambda: now)
    checker = PartChecker("bad", lambda entry, since: entry == "excused")
    assert checker.is_in("a:1,bad:2,c:3") and not checker.is_in("badly:1")
    for now in range(COUNTED_CRASHES):
        checker.record_crash()
    checker.record_arrival("e1")
    now = now + PROPAGATION_SECONDS
    for _ in range(MAX_LATE_ARRIVALS):
        checker.record_arrival("e1")
        checker.record_arrival("excused")
    assert not checker.find_violations()
    checker.record_arrival("e1")
    assert len(checker.find_violations()) == 1


def test_each_violation_is_reported():
    seen = InvariantChecker()
    seen.record_run("a")
    seen.record_run("a")
    seen.record_answer("a", 503, b"")
    seen.record_answer("b", 503, b"")
    seen.record_run("b")
    seen.record_answer("c", 200, make_expected_body("d"))
    seen.record_answer("e", 404, b"")
    seen.record_stream("f", b"id: 1\n\nid: 3\n\ndata: end\n\n", True)
    seen.record_stream("g", b"id: 1\n\n", True)
    seen.check_read(4, 5)
    seen.record_run("h")
    seen.record_failure("h", ConnectionResetError(), planned=False)
    seen.record_failure("i", ConnectionResetError(), planned=True)
    assert len(seen.violations) == 8
    seen.record_failure("h", ConnectionResetError(), planned=True)
    assert len(seen.violations) == 9
    error = aiohttp.ClientResponseError(None, (), status=0)
    seen.record_failure("j", error, planned=False)
    assert len(seen.violations) == 10
