"""A drawn model of what comes where the rest of a stream is due."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from chivepier.gateway.forwarding.tests.follow import FOLLOWS
from chivepier.gateway.forwarding.tests.peersite import play_site
from chivepier.gateway.forwarding.tests.restcase import EVENTS
from chivepier.gateway.forwarding.tests.restcase import RestCase
from chivepier.gateway.forwarding.tests.restoracle import may_seem_whole
from chivepier.gateway.forwarding.tests.restplayer import RestPlayer
from chivepier.gateway.forwarding.tests.restplayer import TARGETS
from chivepier.gateway.forwarding.tests.restways import Break
from chivepier.gateway.forwarding.tests.restways import Kind
from chivepier.gateway.forwarding.tests.restways import Way

CASES = 250
# What the first target sends of the event on which it breaks off.
PARTS = (
    "",
    "i",
    "id: {next}\nda",
    "id: {next}\ndata: {next}\n",
)

# Each kind is drawn as often as any other, whatever number there is of it.
NAMES = st.sampled_from([kind for kind in Kind if kind.follows]).flatmap(
    lambda kind: st.sampled_from(
        [name for name, follow in FOLLOWS.items() if follow.kind is kind]
    )
)


def find_endings(framed: bool, events: int, part: str) -> list[Break]:
    """Return the ways to break off that can be told from others."""
    endings = list(Break)
    if framed:
        # a close before the end that a framing tells is the same as a reset
        endings.remove(Break.CLOSE)
    if not events and "\n" not in part:
        # "a first body that is no series of events: passed on as its target
        # sent it"
        endings.remove(Break.TEXT)
        if part:
            endings.remove(Break.HEAD)
    return endings


@st.composite
def draw_case(draw, way: Way) -> RestCase:
    """Draw a break and what follows it."""
    # a run without an event has nothing to be moved
    fewest = 1 if way.moves or way.is_taken_up else 0
    framed = draw(st.booleans())
    events = draw(st.integers(fewest, EVENTS))
    part = draw(st.sampled_from(PARTS))
    return RestCase(
        way=way,
        first=draw(st.sampled_from((1, 0, 1000))),
        events=events,
        part=part,
        ends=draw(st.sampled_from(find_endings(framed, events, part))),
        framed=framed,
        follows=tuple(draw(st.lists(NAMES, min_size=1, max_size=3))),
        always=draw(st.booleans()),
        leads=draw(st.sampled_from((0, 0, 1, 2))),
        next_framed=draw(st.booleans()),
        attempts=draw(st.integers(1, 4)),
    )


def find_fault(case: RestCase, player: RestPlayer) -> str:
    """Return what the caller must not have seen, if anything."""
    caller = player.caller
    if not caller.begun:
        return "bytes without a head" if caller.data else ""
    if caller.status != 200:
        is_clean = caller.status >= 300 and not caller.aborted
        has_begun = case.events and not case.way.is_taken_up
        return "" if is_clean and not has_begun else f"{caller.status}"
    if not case.due.startswith(caller.data):
        return "no prefix of the series"
    if caller.finished is caller.aborted:
        return "no clear end"
    if not caller.finished or caller.data == case.due:
        return ""
    if may_seem_whole(player.sends):
        return ""
    return "told whole"


def play_case(case: RestCase) -> tuple[str, RestPlayer]:
    """Play a case; return what its caller must not have seen, if anything."""

    async def test(site):
        player = RestPlayer(case, site)
        await player.play()
        return find_fault(case, player), player

    return play_site(test, 2, TARGETS)


@pytest.mark.parametrize("way", Way, ids=lambda way: way.name.lower())
def test_caller_has_a_prefix_of_one_series_whatever_follows_a_break(way):
    # The text or head of an error became a part of a stream, or its end.
    @settings(
        max_examples=CASES, deadline=None, derandomize=True, database=None
    )
    @given(draw_case(way))
    def check(case):
        fault, player = play_case(case)
        assert not fault, f"{fault}: {player.caller.data!r} {player.sends}"

    check()


def make_case(way: Way, *follows: str) -> RestCase:
    """Make a case in which a reset breaks a stream off after two events."""
    return RestCase(
        way=way,
        first=1,
        events=2,
        part="",
        ends=Break.RESET,
        framed=True,
        follows=follows,
        always=False,
        leads=0,
        next_framed=True,
        attempts=3,
    )


@pytest.mark.parametrize("way", Way, ids=lambda way: way.name.lower())
def test_each_way_leads_to_the_targets_that_it_is_named_after(way):
    # A model whose ways lead nowhere would find nothing.
    async def test(site):
        player = RestPlayer(make_case(way, "sound"), site)
        await player.play()
        orders = [entry.parts.engines.orders for entry in site.entries]
        counts = {
            Way.ONCE: [1, 0],
            Way.FORWARDED: [0, 2],
            Way.REST: [1, 1],
            Way.TAKEN_UP: [1, 0],
            Way.TAKEN_UP_FORWARDED: [0, 1],
        }
        assert [len(sent) for sent in orders] == counts.get(way, [2, 0])
        (target, _), (last, order) = sum(orders, [])[0], sum(orders, [])[-1]
        if way is not Way.ONCE:
            assert player.caller.data == make_case(way).due
            assert player.caller.finished and order.after_event == "2"
        assert player.was_stopped is way.moves
        assert (order.origin is not None) is way.moves
        if way.moves:
            assert (last == target) is (way is Way.SOURCE)

    play_site(test, 2, TARGETS)
