"""Tests of the HTTP client for targets against scripted answers."""

import asyncio

import attrs
import pytest

from adapter.httptargetclient import HttpTargetClient
from chivepier.gateway.serving import BrokenAnswerError
from chivepier.gateway.serving import NotSentError
from chivepier.gateway.targets import Liveness
from exchange import build_answer
from exchange import build_reply
from exchange import NOT_RUN_LINE
from exchange import ONCE_OPTIONS
from exchange import OPTIONS
from exchange import read_all
from exchange import run
from exchange import send
from exchange import UNAVAILABLE
import rawtarget


def test_request_is_forwarded_with_internal_headers():
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert (reply.status, await read_all(reply)) == (200, b"ok")
        lines = raw.requests[0].decode().split("\r\n")
        assert lines[0] == "GET /a/b?c=%20d HTTP/1.1"
        assert "Host: h.example" in lines
        assert "X-Chivepier-Expect-Instance: i1" in lines
        assert "X-Chivepier-Deadline-Ms: 1500" in lines
        assert "X-Chivepier-Tenant: t1" in lines
        assert "X-Chivepier-Request-Urgency: 2" in lines
        names = [line.partition(":")[0].lower() for line in lines]
        assert "user-agent" not in names and "accept" not in names

    run(script, test)


@pytest.mark.parametrize(
    "url", ("/c/x?", "/c/x?a=1?", "/c/x#y", "//c/x", "/c/../x?a=%2f", "/c;x?")
)
def test_path_and_query_are_forwarded_as_they_are(url):
    # Guards against an empty query that is lost: another request than sent.
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        request = attrs.evolve(rawtarget.make_request(), url=url)
        reply = await send(targets, raw.make_target(), request, OPTIONS)
        assert await read_all(reply) == b"ok"
        assert raw.requests[0].startswith(f"GET {url} HTTP/1.1".encode())

    run(script, test)


def test_probe_tells_whether_a_target_lives():
    async def script(head, writer):
        writer.write(build_answer(b"ok"))

    async def test(raw, targets):
        target = raw.make_target()
        assert await targets.probe(target) is Liveness.LIVES
        raw._server.close()
        assert await targets.probe(target) is Liveness.ENDED

    run(script, test)


def test_probe_detects_a_process_that_is_ending():
    # An ending process accepts one more connection and closes it at once. A
    # single probe would report it as alive, and the request would be resent.
    async def test():
        async def end(reader, writer):
            server.close()
            writer.transport.abort()

        server = await asyncio.start_server(end, "127.0.0.1", 0)
        raw = rawtarget.RawTarget(None)
        raw.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        async with HttpTargetClient() as targets:
            found = await targets.probe(raw.make_target())
        assert found is Liveness.ENDED

    asyncio.run(test())


def test_reset_answer_without_length_is_incomplete():
    # A reset was taken for the end of an answer without a length.
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Connection: close\r\n\r\npart"
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        rawtarget.reset(writer)

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        with pytest.raises(BrokenAnswerError):
            await read_all(reply)

    run(script, test)


def test_closed_answer_without_length_is_complete():
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Connection: close\r\n\r\nall"
        )
        await writer.drain()
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert await read_all(reply) == b"all"

    run(script, test)


def test_answer_shorter_than_its_length_is_incomplete():
    async def script(head, writer):
        writer.write(build_answer(b"whole")[:-2])
        await writer.drain()
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        with pytest.raises(BrokenAnswerError):
            await read_all(reply)

    run(script, test)


def test_unsolicited_answer_reaches_no_caller():
    # The next caller got a second copy of the previous caller's answer.
    released = asyncio.Event()

    async def script(head, writer):
        request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(build_answer(request_id, request_id))
        await writer.drain()
        if request_id == b"r1":
            await released.wait()
            writer.write(build_answer(b"again", b"r1"))
            await writer.drain()

    async def test(raw, targets):
        target = raw.make_target()
        first = await send(
            targets, target, rawtarget.make_request("r1"), OPTIONS
        )
        assert await read_all(first) == b"r1"
        released.set()
        while not targets.has_unsolicited_data():
            await asyncio.sleep(0)
        second = await send(
            targets, target, rawtarget.make_request("r2"), OPTIONS
        )
        assert not second.facts.mismatched
        assert await read_all(second) == b"r2"
        assert raw.connections == 2

    run(script, test)


def test_answer_to_another_request_is_detected():
    async def script(head, writer):
        writer.write(build_answer(b"x", b"other"))

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert reply.facts.mismatched

    run(script, test)


def test_refused_connection_means_not_sent():
    async def script(head, writer):
        raise AssertionError("not reached")

    async def test(raw, targets):
        target = raw.make_target()
        await raw.__aexit__()
        with pytest.raises(NotSentError):
            await send(targets, target, rawtarget.make_request(), OPTIONS)

    run(script, test)


@pytest.mark.parametrize(
    "status, extra, not_run, other",
    [
        (503, b"X-Chivepier-Not-Run: 1\r\n", True, None),
        (503, b"", False, None),
        (421, b"X-Chivepier-Instance-Id: i2\r\n", False, "i2"),
        (500, b"", False, None),
    ],
)
def test_only_the_header_proves_that_a_request_did_not_run(
    status, extra, not_run, other
):
    async def script(head, writer):
        text = build_answer(b"", extra=extra).replace(
            b"200", b"%d" % status, 1
        )
        writer.write(text)

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        await read_all(reply)
        assert reply.facts.not_run is not_run
        assert reply.facts.other_instance == other

    run(script, test)


@pytest.mark.parametrize(
    "head, framed",
    [
        (b"Content-Length: 2\r\n\r\nok", True),
        (b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", True),
        (b"Connection: close\r\n\r\nok", False),
    ],
)
def test_answer_tells_whether_its_body_is_framed(head, framed):
    async def script(_, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + head)
        writer.close()

    async def test(raw, targets):
        reply = await send(
            targets, raw.make_target(), rawtarget.make_request(), OPTIONS
        )
        assert await read_all(reply) == b"ok"
        assert reply.facts.framed is framed

    run(script, test)


def test_answer_that_names_no_request_is_not_the_requests():
    # A refusal that named nothing, such as one of the reservation before it,
    # was taken for that of a request that ran.
    async def script(head, writer):
        writer.write(
            build_answer(b"", b"", extra=NOT_RUN_LINE, status=UNAVAILABLE)
        )

    async def test(raw, targets):
        request = rawtarget.make_request()
        reply = await send(targets, raw.make_target(), request, ONCE_OPTIONS)
        assert reply.facts.mismatched

    run(script, test)


def test_answer_that_names_two_requests_is_neithers():
    async def script(head, writer):
        extra = b"X-Chivepier-Request-Id: r2\r\n"
        writer.write(build_reply(head, b"", extra + NOT_RUN_LINE))

    async def test(raw, targets):
        request = rawtarget.make_request()
        reply = await send(targets, raw.make_target(), request, ONCE_OPTIONS)
        assert reply.facts.mismatched

    run(script, test)
