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

from chivepier.state.testing.histories import play

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


LOSS = st.tuples(st.just("lose"), VOTERS)
REFUSAL = st.one_of(
    st.tuples(st.just("refuse"), VOTERS), st.tuples(st.just("accept"))
)


@ROUGH
@given(st.integers(0, 1 << 16), st.lists(ACTION, min_size=25, max_size=60))
def test_random_failures_break_no_promise(seed, actions):
    asyncio.run(play(seed, actions))


@ROUGH
@given(
    st.integers(0, 1 << 16),
    st.lists(st.one_of(ACTION, LOSS), min_size=25, max_size=60),
)
def test_disks_lost_one_after_the_other_break_no_promise(seed, actions):
    """Each next disk is lost right after the voters were repaired."""
    asyncio.run(play(seed, actions))


@ROUGH
@given(
    st.integers(0, 1 << 16),
    st.lists(st.one_of(ACTION, REFUSAL, LOSS), min_size=25, max_size=60),
)
def test_disks_that_refuse_writes_break_no_promise(seed, actions):
    """What a disk refused may be found on it later, or not."""
    asyncio.run(play(seed, actions))
