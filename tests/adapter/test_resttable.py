"""A table of breaks of streams and of what comes where their rest is due.

Each cell is played with a real entry and scripted targets at sockets; what its
caller gets is compared with the series byte for byte.
"""

import asyncio
import contextlib
import itertools

import attrs
import pytest
from test_foreignanswers import build_foreign
from test_foreignanswers import ERROR_HEAD
from test_foreignanswers import ERROR_JSON
from test_foreignanswers import ERROR_TEXT
from test_foreignanswers import FOREIGN_HEADS
from test_foreignanswers import FOREIGN_PIECES
from test_foreignanswers import SERIES
from test_foreignanswers import SIGNED
from test_streamends import call
from test_streamends import close
from test_streamends import RESUMABLE

from entryfixture import EntryFixture
from entryfixture import ROUTES
import rawtarget

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))
NOT_RUN = b"X-Chivepier-Not-Run: full\r\n"
# Bytes of a length that no break reaches.
FAR_LENGTH = 999
TARGETS = 5
LIMIT_SECONDS = 15.0
# Seconds for an entry to read what a reset would discard.
READ_SECONDS = 0.02

# what the first target sends, and how many events of it are whole
PLACES = {
    "first": (b"id: 1\nda", 0),
    "between": (EVENTS[0], 1),
    "inside": (EVENTS[0] + b"id: 2\nda", 1),
    "lines": (EVENTS[0] + b"id: 2\ndata: 2\n", 1),
}
FRAMINGS = ("length", "chunks", "close")
ENDINGS = ("reset", "close", "head")
# A living target's end: "its word is true, and the connection can't
# tell". Another target is asked about it, in a test of its own.
WORD = ("between", "close", "close")
BREAKS = tuple(
    cell
    for cell in itertools.product(PLACES, FRAMINGS, ENDINGS)
    if cell != WORD
)
BREAK_NAMES = tuple(map("-".join, BREAKS))
# what a target answers: first line and fields of its head, and its body
ERRORS = {
    **FOREIGN_HEADS,
    "429": (b"429 Busy", b"X-Chivepier-Request-Id: r1\r\n", b""),
    "504": (b"504 Late", SIGNED, ERROR_JSON),
    "599": (b"599 Odd", b"", ERROR_TEXT),
    **{
        f"piece-{name}": (b"200 OK", SIGNED + SERIES, piece)
        for name, piece in FOREIGN_PIECES.items()
    },
    "unnumbered": (b"200 OK", SIGNED + SERIES, b"data: x\n\n"),
}
REFUSALS = {
    "refused": (b"503 Full", SIGNED + NOT_RUN, ERROR_TEXT),
    "refused-empty": (b"429 Full", SIGNED + NOT_RUN, b""),
}
# "no answer" by "First lines of answers" in ``docs/design/requests.md``
SILENCES = {"none": (b"999 None", b"", b"")}
ANSWERS = {**ERRORS, **REFUSALS, **SILENCES}


@attrs.frozen
class Cell:
    """One break, and what follows it.

    :param place: where the first body breaks off
    :param framing: what would have told its end
    :param ending: what its connection does
    :param answer: name of the answer that comes then
    :param next_framing: what tells the end of that answer
    :param always: whether it comes again, or a sound target after it
    :param attempts: runs that the route allows
    """

    place: str
    framing: str
    ending: str
    answer: str
    next_framing: str
    always: bool
    attempts: int

    def list_allowed(self) -> list[tuple[bytes, bool]]:
        """Return what the caller may get, and whether it looks whole.

        A target that can't be reached any more counts as no attempt, see
        ``AttemptLimit``, so that two may lead to a sound one, too.
        """
        begun = b"".join(EVENTS[: PLACES[self.place][1]]), False
        return [begun] if self.always else [begun, (b"".join(EVENTS), True)]


def frame_first(cell: Cell) -> bytes:
    """Return the first answer, up to its break."""
    body = PLACES[cell.place][0]
    ends = cell.ending == "head"
    if ends:
        body += ERROR_HEAD + b"bad"
    head = b"HTTP/1.1 200 OK\r\n" + SIGNED + SERIES
    match cell.framing:
        case "length":
            size = len(body) if ends else FAR_LENGTH
            return head + b"Content-Length: %d\r\n\r\n" % size + body
        case "chunks":
            last = b"0\r\n\r\n" if ends else b""
            chunk = b"%x\r\n%b\r\n" % (len(body), body)
            coding = b"Transfer-Encoding: chunked\r\n\r\n"
            return head + coding + chunk + last
        case _:
            return head + b"Connection: close\r\n\r\n" + body


def build_rest(head: bytes) -> bytes:
    """Return a sound answer to a request for what follows."""
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
    )
    had = int(fields.get(b"last-event-id", b"0"))
    body = b"".join(EVENTS[had:])
    return build_foreign(b"200 OK", SIGNED + SERIES, body, "length")


def script_cell(cell: Cell):
    """Return the script that all targets of a cell share."""
    heads = []

    async def script(head, writer):
        heads.append(head)
        end = close
        if len(heads) == 1:
            answer = frame_first(cell)
            end = rawtarget.reset if cell.ending == "reset" else close
        elif len(heads) == 2 or cell.always:
            answer = build_foreign(*ANSWERS[cell.answer], cell.next_framing)
        else:
            answer = build_rest(head)
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(READ_SECONDS)
        end(writer)

    return script


async def play_cell(cell: Cell) -> str:
    """Play a cell; return what its caller must not have seen, if anything."""
    script = script_cell(cell)
    route = {**RESUMABLE, "max-attempts": cell.attempts}
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(asyncio.timeout(LIMIT_SECONDS))
        fixture = await stack.enter_async_context(EntryFixture(script))
        fixture.configure(routes=[*ROUTES, route])
        heard = fixture.entry.table.get("i1").heard
        for number in range(2, TARGETS + 1):
            other = rawtarget.RawTarget(script)
            await stack.enter_async_context(other)
            other.instance = f"i{number}"
            target = attrs.evolve(other.make_target(), heard=heard)
            fixture.entry.table.put(target)
        head, body, whole = await call(fixture, "/resume/x")
    if not PLACES[cell.place][1] and head.startswith(b"HTTP/1.1 502"):
        # nothing of a stream has begun
        return ""
    if (body, whole) in cell.list_allowed() and body:
        return ""
    return f"{cell}: {body!r}, whole: {whole}"


async def play_cells(cells: list[Cell]) -> list[str]:
    """Play cells side by side; return what must not have been seen."""
    faults = await asyncio.gather(*map(play_cell, cells))
    return [fault for fault in faults if fault]


def list_cells(breaks, answers, turn: int = 0) -> list[Cell]:
    """Return a cell for each answer, with all that varies beside it in turn.

    All combinations would take more connections in a minute than there are
    ports for.
    """
    variants = itertools.product((False, True), (2, 4), FRAMINGS)
    beside = itertools.islice(itertools.cycle(variants), turn, None)
    return [
        Cell(*breaks, answer, framing, always, attempts)
        for answer, (always, attempts, framing) in zip(answers, beside)
    ]


@pytest.mark.parametrize("turn", range(len(BREAKS)), ids=BREAK_NAMES)
def test_what_is_no_rest_never_becomes_a_part_of_a_stream(turn):
    # The text or head of an error stood in a stream, or was told as its end.
    cells = list_cells(BREAKS[turn], ANSWERS, turn)
    found = asyncio.run(play_cells(cells))
    assert not found, f"{len(found)} of {len(cells)}: " + "; ".join(found[:9])


@pytest.mark.parametrize("turn", range(4))
def test_error_is_no_word_that_nothing_follows(turn):
    # A target that had closed early was asked about, an error came, and the
    # stream was told as whole.
    cells = list_cells(WORD, ERRORS, turn * len(FRAMINGS))
    found = asyncio.run(play_cells(cells))
    assert not found, f"{len(found)} of {len(cells)}: " + "; ".join(found[:9])
