"""Answers of plain services that end with their connection."""

import asyncio

import pytest

from chivepier.node.tests.fakeentry import make_entry
from chivepier.node.tests.rawservice import RawService
from chivepier.node.tests.test_servicecaller import make_caller
from chivepier.types import ErrorKind
from chivepier.types import Ran
from chivepier.types import RequestError

PART = b"the first half of "
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
# Fields of heads that tell no end of the body, or none that can be relied on.
UNFRAMED = {
    "nothing": b"",
    "close": b"Connection: close\r\n",
    "identity": b"Transfer-Encoding: identity\r\n",
    "unlike-chunks": b"Transfer-Encoding: xchunked\r\n",
    "encoded": b"Transfer-Encoding: gzip\r\n",
}


def make_answer(fields=b"", body=PART, status=b"200 OK") -> bytes:
    return b"HTTP/1.1 " + status + b"\r\n" + fields + b"\r\n" + body


def run(first: RawService, second: RawService, work):
    async def play():
        async with first, second:
            async with make_entry(first.address, second.address) as entry:
                await work(entry)

    asyncio.run(play())


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("fields", UNFRAMED.values(), ids=UNFRAMED)
def test_cut_answer_without_a_length_is_not_told_as_whole(fields, resets):
    # A service that was killed amid an answer: its caller got 200 and a part.
    first = RawService(make_answer(fields), resets)
    second = RawService(WHOLE)

    async def work(entry):
        with pytest.raises(RequestError) as caught:
            await make_caller(entry).run()
        failure = caught.value.failure
        assert failure.kind is ErrorKind.TARGET_FAILED
        assert failure.ran is Ran.UNKNOWN
        assert (first.calls, second.calls) == (1, 0)

    run(first, second, work)


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("fields", UNFRAMED.values(), ids=UNFRAMED)
def test_cut_answer_to_an_idempotent_call_is_asked_for_elsewhere(
    fields, resets
):
    # The part went to the caller though another target has the whole answer.
    first = RawService(make_answer(fields), resets)
    second = RawService(WHOLE)

    async def work(entry):
        outcome = await make_caller(entry, "GET", idempotent=True).run()
        assert (outcome.status, outcome.body) == (200, b"whole")
        assert (first.calls, second.calls) == (1, 1)

    run(first, second, work)


def test_other_protocol_is_no_answer():
    # A 101 for which nobody had asked was handed on with what followed it.
    fields = b"Upgrade: x\r\nConnection: Upgrade\r\n"
    first = RawService(make_answer(fields, status=b"101 Other"))

    async def work(entry):
        with pytest.raises(RequestError) as caught:
            await make_caller(entry).run()
        assert caught.value.failure.ran is Ran.UNKNOWN

    run(first, RawService(WHOLE), work)


@pytest.mark.parametrize(
    ("method", "answer", "body"),
    [
        ("POST", WHOLE, b"whole"),
        (
            "POST",
            make_answer(
                b"Transfer-Encoding: Chunked\r\n", b"2\r\nwh\r\n0\r\n\r\n"
            ),
            b"wh",
        ),
        ("POST", make_answer(body=b"", status=b"204 No Content"), b""),
        ("GET", make_answer(body=b"", status=b"304 Not Modified"), b""),
        ("HEAD", make_answer(body=b""), b""),
        ("HEAD", make_answer(b"Content-Length: 5\r\n", b""), b""),
    ],
    ids=["length", "chunks", "204", "304", "head", "head-length"],
)
def test_answer_whose_end_is_told_is_handed_on(method, answer, body):
    # A check of the framing that goes too far would fail sound answers.
    first = RawService(answer)

    async def work(entry):
        outcome = await make_caller(entry, method).run()
        assert (outcome.status, outcome.body) == (
            int(answer.split()[1]),
            body,
        )

    run(first, RawService(WHOLE), work)


def test_refusal_without_a_length_still_tells_that_nothing_ran():
    # Its JSON is whole or can't be read, so its word needs no framing.
    text = b'{"error": {"kind": "leaving", "ran": "no"}}'
    answer = make_answer(body=text, status=b"503 Unavailable")
    first, second = RawService(answer), RawService(WHOLE)

    async def work(entry):
        assert (await make_caller(entry).run()).body == b"whole"

    run(first, second, work)
