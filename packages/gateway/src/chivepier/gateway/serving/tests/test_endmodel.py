"""A model that enumerates the ends of answers.

Each combination is played with the code that serves requests, and compared
with what the pages allow its caller to be told.
"""

import asyncio
import collections
import itertools
import math

import pytest

from chivepier.gateway.serving.tests.endcell import EndCell
from chivepier.gateway.serving.tests.endoracle import has_word_in_time
from chivepier.gateway.serving.tests.endoracle import tell_expected
from chivepier.gateway.serving.tests.endplayer import BODY
from chivepier.gateway.serving.tests.endplayer import EndPlayer
from chivepier.gateway.serving.tests.endplayer import EVENTS
from chivepier.gateway.serving.tests.endplayer import HALF
from chivepier.gateway.serving.tests.endplayer import Outcome
from chivepier.gateway.serving.tests.endplayer import SENT_EVENTS
from chivepier.gateway.serving.tests.endplayer import Sleeper
from chivepier.gateway.serving.tests.endways import Check
from chivepier.gateway.serving.tests.endways import Entry
from chivepier.gateway.serving.tests.endways import Exclusion
from chivepier.gateway.serving.tests.endways import Framing
from chivepier.gateway.serving.tests.endways import Incarnation
from chivepier.gateway.serving.tests.endways import Manner
from chivepier.gateway.serving.tests.endways import Others
from chivepier.gateway.serving.tests.endways import Path
from chivepier.gateway.serving.tests.endways import Place
from chivepier.gateway.serving.tests.endways import Reply
from chivepier.gateway.serving.tests.endways import Status
from chivepier.gateway.serving.tests.endways import Told
from chivepier.standins.playedloop import play_time

WAYS = (
    Framing,
    Place,
    Manner,
    Path,
    Incarnation,
    Reply,
    Others,
    Entry,
    Status,
)
CELLS = tuple(EndCell(*ways) for ways in itertools.product(*WAYS))
PLAYED = tuple(cell for cell in CELLS if cell.find_exclusion() is None)


def group_cells() -> dict[str, list[EndCell]]:
    """Return the cells that are played, by what a failure is named after."""
    groups = collections.defaultdict(list)
    for cell in PLAYED:
        ways = (
            cell.framing,
            cell.place,
            cell.manner,
            cell.path,
            cell.status,
        )
        groups["-".join(way.name for way in ways)].append(cell)
    return groups


GROUPS = group_cells()


async def play_together(
    cells: list[EndCell], sleeper: Sleeper, check: Check
) -> list[Outcome]:
    """Play cells that share nothing but a loop, which may sleep."""
    players = [EndPlayer(cell, sleeper, check) for cell in cells]
    return await asyncio.gather(*(player.play() for player in players))


def play_cells(
    cells: list[EndCell], check: Check = Check.TELLS
) -> list[tuple[EndCell, Outcome]]:
    """Play cells in played time, together those that end in one moment."""
    batches = collections.defaultdict(list)
    for cell in cells:
        # a loop that sleeps does so for all of its cells
        slept = cell.entry is Entry.SLEPT
        batches[cell.entry, cell.others if slept else None].append(cell)
    outcomes = []
    for batch in batches.values():
        sleeper = Sleeper()
        work = play_together(batch, sleeper, check)
        outcomes += zip(batch, play_time(work, sleeper))
    return outcomes


def find_faults(
    cell: EndCell, outcome: Outcome, check: Check = Check.TELLS
) -> list[str]:
    """Return what a caller must not have seen, or the target been asked."""
    faults = []
    if outcome.told is not tell_expected(cell, check):
        faults.append(f"told {outcome.told.value}")
    claims_whole = outcome.told is Told.WHOLE and cell.framing is Framing.NONE
    if claims_whole and not outcome.has_word:
        faults.append("whole without word of the sender")
    if outcome.examined is not cell.needs_word:
        faults.append(f"examined: {outcome.examined}")
    if outcome.questions and cell.reply is Reply.UNASKED:
        faults.append("asked though it may not be")
    if outcome.data != find_data(cell, outcome.told):
        faults.append(f"data {outcome.data!r}")
    count = len(outcome.numbers)
    if outcome.numbers != list(range(1, count + 1)):
        faults.append(f"events {outcome.numbers}")
    return faults


def find_data(cell: EndCell, told: Told) -> bytes:
    """Return the bytes that the caller has, with what it is told."""
    if told is Told.ERROR:
        return b""
    if cell.path.streams and (cell.streams or told is Told.RESUMED):
        sent = SENT_EVENTS.get(cell.place, 0)
        count = EVENTS if told is Told.RESUMED else sent
        events = (f"id: {n}\ndata: {n}\n\n" for n in range(1, count + 1))
        return "".join(events).encode()
    if told is Told.RESUMED or cell.place is Place.AFTER_LAST:
        return BODY.encode()
    return HALF.encode() if cell.place is Place.WITHIN else b""


def describe_faults(
    cells: list[EndCell], check: Check = Check.TELLS
) -> list[str]:
    """Play cells; return those with faults, and which."""
    return [
        f"{cell}: {', '.join(faults)}"
        for cell, outcome in play_cells(cells, check)
        if (faults := find_faults(cell, outcome, check))
    ]


@pytest.mark.parametrize("cells", GROUPS.values(), ids=GROUPS)
def test_end_is_told_as_the_pages_allow(cells):
    # An end that nobody vouched for was told as whole, in one way after the
    # other: each time in a combination that no test had.
    found = describe_faults(cells)
    assert not found, f"{len(found)} of {len(cells)}: " + "; ".join(found[:9])


@pytest.mark.parametrize(
    "check", [check for check in Check if check is not Check.TELLS], ids=str
)
def test_next_target_changes_what_is_told_only_by_what_it_sends(check):
    # A living target that had closed early vouched for half a stream; and the
    # end of the next run must not be taken for the end of the stream either.
    cells = [
        cell
        for cell in PLAYED
        if cell.path is Path.RESUMABLE and cell.streams and cell.needs_word
    ]
    assert sum(map(has_word_in_time, cells)) == 60
    assert len(cells) == 504
    found = describe_faults(cells, check)
    assert not found, f"{len(found)} of {len(cells)}: " + "; ".join(found[:9])


def test_no_combination_is_left_out_without_a_reason():
    # A way to end that is dropped in silence is one that nobody tests.
    reasons = collections.Counter(cell.find_exclusion() for cell in CELLS)
    assert reasons == {
        None: 11784,
        Exclusion.NO_FRAMING: 15840,
        Exclusion.NO_STATUS: 3960,
        Exclusion.NO_EVENTS: 17820,
        Exclusion.LENGTH_REACHED: 5280,
        Exclusion.NOT_ASKED: 62400,
        Exclusion.DEAD: 1188,
        Exclusion.OWN_ADDRESS: 264,
        Exclusion.NO_LISTENER: 264,
    }
    assert sum(reasons.values()) == math.prod(len(way) for way in WAYS)
    assert {cell.place for cell in PLAYED} == set(Place)
    assert sum(map(len, GROUPS.values())) == len(PLAYED)
