"""Model of streams over the numbers that their series begin with."""

import asyncio
import itertools

import attrs
import pytest

from chivepier.gateway.serving import AnswerFacts
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.standins.playedloop import play_time
from chivepier.types import RequestError

FIRST_NUMBERS = (0, 1, 7, 1000)
PATHS = ("/llm/x", "/resume/x")
EVENTS = 4
# What the first target sends before its connection breaks; none for no break.
BREAKS = (None, "", ": note\n\n", "id: {0}\nda", "{event}", "{event}id: {1}\n")
ABOVE_LAST = str(10**6)
NO_NUMBER = "five"
PLAY_SECONDS = 30.0


@attrs.frozen
class Series:
    """One stream, and how it is disturbed.

    :param first: number of its first event
    :param framed: whether its targets tell where a body ends
    :param breaks: what its first target sends before it breaks off
    :param sent: id of the last event that its caller names; ``None`` for none
    :param repeats: whether later targets repeat the last event
    """

    first: int
    framed: bool
    breaks: str | None
    sent: str | None
    repeats: bool

    def list_after(self, last: str | None) -> list[int]:
        """Return the events that a target sends after one."""
        known = last is not None and last.isdecimal()
        after = int(last) if known else self.first - 1
        begin = max(self.first, after + 1)
        return list(range(begin, self.first + EVENTS))


def list_series(first: int) -> list[Series]:
    """Return all streams whose series begins with a number."""
    sent = (None, "", "0", "1", str(first), str(first + 1))
    values = dict.fromkeys((*sent, ABOVE_LAST, NO_NUMBER))
    ways = itertools.product((True, False), BREAKS, values, (True, False))
    return [Series(first, *way) for way in ways]


def render(number: int) -> str:
    """Return the text of an event."""
    return f"id: {number}\ndata: {number}\n\n"


def play_target(series: Series, run, after: str | None, is_first: bool):
    """Send what a target has after an event, and end or break off."""
    numbers = series.list_after(after)
    if is_first and series.breaks is not None and numbers:
        event = render(numbers[0])
        next_number = numbers[0] + 1
        run.make(0, series.breaks.format(numbers[0], next_number, event=event))
        run.cut()
        return
    known = after is not None and after.isdecimal()
    if not is_first and series.repeats and known:
        run.make(0, render(int(after)))
    run.make(0, "".join(map(render, numbers)))
    # once for the read that waits for the first event
    run.end()
    run.end()


async def play_series(series: Series, path: str):
    """Play a stream.

    :returns: the caller, and after which events targets were asked to begin
    """
    parts = Parts("a", "b")
    parts.engines.facts = AnswerFacts(framed=series.framed)
    send, asked = parts.engines.send, []

    async def play(target, request, order, contact):
        run = await send(target, request, order, contact)
        asked.append(order.after_event)
        play_target(series, run, order.after_event, len(asked) == 1)
        return run

    parts.engines.send = play
    caller, task = parts.start(make_request(path, last_event=series.sent))
    async with asyncio.timeout(PLAY_SECONDS):
        await asyncio.wait((task,))
    failed = task.exception()
    assert failed is None or isinstance(failed, RequestError)
    await parts.mover.close()
    await parts.quarantine.close()
    return caller, asked


def check_series(series: Series, path: str) -> None:
    """Compare what a caller got with what the model of its target has."""
    caller, asked = play_time(play_series(series, path))
    wanted = series.list_after(series.sent)
    got = caller.numbers
    assert got == wanted[: len(got)], (series, path)
    if caller.finished:
        assert got == wanted, (series, path)
    else:
        is_empty = not wanted and not series.framed
        is_broken = series.breaks is not None and path == "/llm/x"
        assert is_empty or is_broken, (series, path)
    known = {series.sent, *map(str, wanted)}
    assert asked[0] == series.sent and set(asked) <= known, (series, path)
    if series.breaks is not None and wanted and len(asked) > 1:
        has_event = series.breaks.startswith("{event}")
        expected = str(wanted[0]) if has_event else series.sent
        assert asked[1] == expected, (series, path)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("first", FIRST_NUMBERS)
def test_caller_gets_the_rest_of_a_series_from_any_number(first, path):
    # No event yet was taken for event 0: it was dropped, or skipped.
    for series in list_series(first):
        check_series(series, path)
