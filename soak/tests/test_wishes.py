"""Targets that ask for rest, and that leave, by their answers alone."""

import asyncio

import pytest

from soak.blocks import reserve_block
from soak.need import Need
from soak.wishes import Wishes

REST_SECONDS = 3.0
# Callers for each entry, and seconds between two requests of one: an average
# of failures takes longer than half a second to shut a target out.
CALLERS = 2
PAUSE_SECONDS = 0.3
# Seconds in which targets turn away what they are sent.
FULL_SECONDS = 7.0


def play(folder, entries: int, work) -> Need:
    """Run real processes and callers beside what a test does.

    :param folder: for settings, data and logs
    :param entries: how many
    :param work: a coroutine of the test; the targets are given to it
    """

    async def run(block: int) -> Need:
        callers = CALLERS * entries
        need = Need(folder, block, 1, entries, callers, PAUSE_SECONDS)
        async with asyncio.timeout(60), need.run():
            await asyncio.sleep(1.0)
            need.replies.clear()
            await work(need.targets)
        return need

    with reserve_block() as block:
        return asyncio.run(run(block))


@pytest.mark.parametrize("entries", (1, 3))
def test_target_that_asks_for_rest_gets_nothing_meanwhile(entries, tmp_path):
    # Targets got three requests of an entry that was to wait for 3 s.
    async def work(targets):
        for target in targets[:2]:
            target.mood, target.wishes.rest = "shed", REST_SECONDS
        await asyncio.sleep(FULL_SECONDS)

    need = play(tmp_path, entries, work)
    for target in need.targets[:2]:
        assert target.wishes.refusals > 0
        assert target.wishes.ignored == []
    assert {reply.status for reply in need.replies} == {200}


@pytest.mark.parametrize("entries", (1, 3))
def test_target_that_says_it_leaves_gets_no_new_work(entries, tmp_path):
    # It said so in its answers alone, and was sent requests until its end.
    async def work(targets):
        for target in targets[:2]:
            target.wishes.leaves = True
        await asyncio.sleep(FULL_SECONDS)

    need = play(tmp_path, entries, work)
    for target in need.targets[:2]:
        assert target.runs > 0
        assert target.wishes.ignored == []
    assert {reply.status for reply in need.replies} == {200}


def test_each_wish_that_is_not_heeded_is_seen():
    wishes = Wishes(rest=3.0, leaves=True)
    wishes.note_answer("e1", True, 10.0)
    wishes.note_arrival("e1", 10.3, 10.4)
    wishes.note_arrival("e2", 11.0, 11.0)
    assert wishes.ignored == []
    wishes.note_arrival("e1", 10.4, 12.9)
    assert len(wishes.ignored) == 1
    wishes.note_arrival("e1", 13.1, 13.1)
    assert len(wishes.ignored) == 2
    wishes.excuses = lambda entry, since: True
    wishes.note_arrival("e1", 12.9, 12.9)
    assert len(wishes.ignored) == 2
