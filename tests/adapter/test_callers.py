"""Tests of the HTTP server for callers with a complete entry."""

import asyncio
import contextlib
import time

import pytest
from test_configcodec import CONFIG_FIELDS

import adapter.callers as callers
from chivepier.gateway.serving import Doubt
from chivepier.gateway.usage import Usage
from entryfixture import build_request
from entryfixture import EntryFixture
from entryfixture import read_status
from entryfixture import run
import rawtarget


async def answer_ok(head, writer):
    """Answer every request with success."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
        b"X-Chivepier-Server-Stamp: s1\r\nContent-Length: 2\r\n\r\nok"
    )


def test_answer_and_its_headers_are_forwarded():
    async def test(fixture):
        answer = await fixture.send(build_request("/once/x?q=%41"))
        assert read_status(answer) == 200
        assert b"X-Chivepier-Server-Stamp: s1" in answer
        assert answer.endswith(b"\r\n\r\nok")
        assert fixture.raw.requests[0].startswith(
            b"POST /once/x?q=%41 HTTP/1.1"
        )

    run(answer_ok, test)


def test_backoff_requested_before_a_restart_is_announced_applies():
    # A restarted target requested a backoff before its announcement arrived.
    # The backoff was attributed to its earlier incarnation and ignored.
    async def refuse(head, writer):
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 20\r\n"
            b"X-Chivepier-Not-Run: 1\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )

    async def test(fixture):
        await fixture.send(build_request("/once/x"))
        later = fixture.raw.make_target()
        later.born, later.heard = 7, time.monotonic()
        fixture.entry.table.put(later)
        sent = len(fixture.raw.requests)
        assert read_status(await fixture.send(build_request("/once/x"))) == 429
        assert len(fixture.raw.requests) == sent == 1

    run(refuse, test)


def test_metrics_are_labelled_by_team_class_and_outcome():
    async def test(fixture):
        await fixture.send(build_request("/once/x"))
        scrape = b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
        closing = scrape + b"Connection: close\r\n\r\n"
        answer = await fixture.send(closing, fixture.metrics_port)
        line = b'class="1",outcome="answered",team="t1"} 1.0'
        assert line in answer

    run(answer_ok, test)


def test_internal_headers_of_callers_are_removed():
    # With these headers in its requests, a team could act as another team or
    # use a KV cache of another.
    internal_headers = {
        "X-Chivepier-Tenant": "t9",
        "X-Chivepier-Hold": "h",
        "X-Chivepier-Pin-Ms": "1",
        "X-Chivepier-Kv-Backup": "1.1.1.1:1",
        "Kv-From": "1.1.1.1:1/x",
        "X-Chivepier-Request-Urgency": "0",
        "X-Chivepier-Expect-Instance": "i9",
    }

    async def test(fixture):
        lines = [
            f"{name}: {value}" for name, value in internal_headers.items()
        ]
        lines.append("X-Other: kept")
        await fixture.send(build_request("/once/x", *lines))
        seen = fixture.raw.requests[0].decode()
        assert "X-Other: kept" in seen and "X-Chivepier-Tenant: t1" in seen
        assert "X-Chivepier-Expect-Instance: i1" in seen
        assert "k1" not in seen
        for value in ("t9", "i9", "1.1.1.1", "Pin-Ms", "Hold"):
            assert value not in seen

    run(answer_ok, test)


@pytest.mark.parametrize(
    "path, line, status",
    [
        ("/none/x", "", 404),
        ("/once/x", "X-Chivepier-Deadline-Ms: soon", 400),
        ("/once/x", "X-Chivepier-Token-Count: many", 400),
        ("/once/x", "X-Chivepier-Token-Count: -5,10", 400),
        ("/once/x", "X-Chivepier-Deadline-Ms: inf", 400),
        ("/once/x", "X-Chivepier-Deadline-Ms: nan", 400),
        (
            "/once/x",
            "X-Chivepier-Token-Count: 5\r\nX-Chivepier-Length-Hint: inf",
            400,
        ),
    ],
)
def test_malformed_or_unknown_requests_are_answered(path, line, status):
    async def test(fixture):
        lines = [line] if line else []
        answer = await fixture.send(build_request(path, *lines))
        assert read_status(answer) == status
        assert not fixture.raw.requests

    run(answer_ok, test)


@pytest.mark.parametrize("name", (b"X-Chivepier-Request-Id", b"Resumes"))
def test_identifier_without_an_encoding_is_refused(name):
    # Guards against an entry that can tell voters of no stream any more.
    request = build_request("/once/x", "Resumes: r0")
    request = request.replace(name + b": r", name + b": \xff")

    async def test(fixture):
        assert read_status(await fixture.send(request)) == 400
        assert not fixture.raw.requests

    run(answer_ok, test)


def test_body_over_the_limit_is_refused():
    async def test(fixture):
        answer = await fixture.send(build_request("/once/x", body=b"x" * 1001))
        assert read_status(answer) == 413
        assert not fixture.raw.requests

    run(answer_ok, test)


def test_buffered_bodies_are_limited_in_total():
    # Many bodies at once exhausted the memory of one instance after another.
    async def test(fixture):
        size = 10_000
        version = fixture.entry.state.index.version + 1
        fixture.configure(version=version, limits={"max-body-bytes": size})
        head = build_request("/once/x").replace(
            b"Content-Length: 0", b"Content-Length: %d" % size
        )
        part = head + b"x" * (size // 2)
        writers = []
        for _ in range(3):
            _, writer = await asyncio.open_connection(
                "127.0.0.1", fixture.port
            )
            writer.write(part)
            writers.append(writer)
        used_bytes = 3 * (size // 2)
        while fixture.entry.bodies.used_bytes < used_bytes:
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        writer.write(part)
        answer = await reader.readuntil(b"}")
        assert read_status(answer) == 429 and b"overloaded" in answer
        writers.append(writer)
        assert fixture.raw.requests == []
        for writer in writers:
            writer.close()
        while fixture.entry.bodies.used_bytes:
            await asyncio.sleep(0.01)
        assert read_status(await fixture.send(build_request("/once/x"))) == 200

    run(answer_ok, test, body_bytes=17_000)


def test_shed_request_is_refused_before_its_body_is_read():
    # Guards against bodies that fill what memory is left, and against kept
    # connections that bring the next request to the same entry.
    async def test(fixture):
        shedding = fixture.entry.shedding
        update = shedding.update
        update(Usage(memory=0.95), active=9)
        # the entry measures, too
        shedding.update = lambda usage, active: False
        address = "127.0.0.1", fixture.port
        reader, writer = await asyncio.open_connection(*address)
        head = build_request("/once/x").replace(b"Connection: close\r\n", b"")
        writer.write(head.replace(b"Length: 0", b"Length: 900"))
        answer = await reader.readuntil(b"}")
        assert read_status(answer) == 429
        assert b"Connection: close" in answer and b"Retry-After: 0." in answer
        writer.close()
        assert fixture.raw.requests == []
        metrics = fixture.entry.metrics.render()
        assert b'shed_requests_total{shortage="memory"} 1.0' in metrics
        update(Usage(memory=0.7), active=0)
        assert read_status(await fixture.send(build_request("/once/x"))) == 200

    run(answer_ok, test)


def test_incomplete_body_releases_its_memory_at_the_deadline():
    # Callers that sent half of a body and then nothing kept their memory until
    # they disconnected, which left none for others.
    async def test(fixture):
        request = build_request("/once/x", "X-Chivepier-Deadline-Ms: 100")
        request = request.replace(b"Content-Length: 0", b"Content-Length: 900")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        writer.write(request + b"x" * 400)
        answer = await reader.readuntil(b"}")
        assert read_status(answer) == 504 and b"did not come" in answer
        assert (
            fixture.entry.bodies.used_bytes == 0 and not fixture.raw.requests
        )
        writer.close()

    run(answer_ok, test)


def test_wrong_key_is_refused():
    async def test(fixture):
        request = build_request("/once/x").replace(b"k1", b"k9")
        assert read_status(await fixture.send(request)) == 401

    run(answer_ok, test)


def test_request_smuggling_is_rejected():
    # With two conflicting body lengths, a target that uses the other one would
    # run the content of the body as a separate request.
    async def test(fixture):
        request = build_request(
            "/once/x", "Transfer-Encoding: chunked", body=b"0"
        )
        assert read_status(await fixture.send(request)) == 400
        assert not fixture.raw.requests

    run(answer_ok, test)


def test_lost_request_is_not_reported_as_not_run():
    # 503 would state that the request did not run, but it may have.
    async def script(head, writer):
        writer.close()

    async def test(fixture):
        answer = await fixture.send(build_request("/once/x"))
        assert read_status(answer) == 502
        assert b"Retry-After" not in answer

    run(script, test)


def test_entry_without_configuration_is_not_ready():
    async def test(fixture):
        answer = await fixture.send(build_request("/once/x"))
        assert read_status(answer) == 503 and b"Retry-After" in answer
        check = b"GET /chivepier/ready HTTP/1.1\r\nHost: x\r\n"
        closing = check + b"Connection: close\r\n\r\n"
        ready = await fixture.send(closing, fixture.ready_port)
        assert read_status(ready) == 503
        fixture.configure()
        ready = await fixture.send(closing, fixture.ready_port)
        assert read_status(ready) == 200

    run(answer_ok, test, configured=False)


def test_interrupted_stream_is_not_ended_as_complete():
    async def script(head, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"11\r\nid: 1\ndata: one\n\n\r\n"
        )
        await writer.drain()
        rawtarget.reset(writer)

    async def test(fixture):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        writer.write(build_request("/stream/x"))
        data = b""
        with contextlib.suppress(ConnectionError):
            while part := await reader.read(1000):
                data += part
        writer.close()
        assert b"\r\n0\r\n" not in data

    run(script, test)


def test_disconnect_of_a_caller_cancels_its_request():
    # Targets continued to run requests of callers that had disconnected.
    disconnected = asyncio.Event()
    fixtures = []

    async def script(head, writer):
        with contextlib.suppress(ConnectionError):
            await fixtures[0].raw.reader.read()
        disconnected.set()
        writer.close()

    async def test(fixture):
        fixtures.append(fixture)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        writer.write(build_request("/once/x"))
        while not fixture.raw.requests:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        await disconnected.wait()

    run(script, test)


def test_draining_entry_completes_its_requests():
    release = asyncio.Event()

    async def script(head, writer):
        await release.wait()
        await answer_ok(head, writer)

    async def test(fixture):
        pending = asyncio.create_task(fixture.send(build_request("/once/x")))
        while not fixture.raw.requests:
            await asyncio.sleep(0.01)
        drained = asyncio.create_task(fixture.entry.drain())
        await asyncio.sleep(0)
        assert not fixture.entry.following.ready
        release.set()
        assert read_status(await pending) == 200
        late = await fixture.send(build_request("/once/x"))
        assert read_status(late) == 200
        await drained

    run(script, test)


def test_stopping_entry_rejects_requests_it_could_not_finish():
    # Requests that arrived just before a stopping entry ended were cut off.
    release = asyncio.Event()

    async def script(head, writer):
        await release.wait()
        await answer_ok(head, writer)

    async def test(fixture):
        pending = asyncio.create_task(fixture.send(build_request("/stream/x")))
        while not fixture.raw.requests:
            await asyncio.sleep(0.01)
        drained = asyncio.create_task(fixture.entry.drain())
        await asyncio.sleep(0)
        # its route lets it run for five seconds
        while time.monotonic() < fixture.entry.state.late_at:
            await asyncio.sleep(0.01)
        late = await fixture.send(build_request("/stream/y"))
        assert read_status(late) == 503
        assert b"retry-after: 0" in late.lower()
        assert len(fixture.raw.requests) == 1
        release.set()
        assert read_status(await pending) == 200
        await drained

    run(script, test)


def test_idle_timeout_is_taken_from_the_configuration():
    # Idle connections were closed before the configured timeout.
    async def test(fixture):
        limits = {"idle-timeout-ms": 200}
        fixture.configure(version=CONFIG_FIELDS["version"] + 1, limits=limits)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", fixture.port
        )
        request = build_request("/once/x").replace(
            b"Connection: close\r\n", b""
        )
        writer.write(request)
        async with asyncio.timeout(10):
            answer = await reader.read()
        assert read_status(answer) == 200
        assert b"connection: close" not in answer.lower()
        writer.close()

    run(answer_ok, test)


@pytest.mark.parametrize("limits,status", [({}, 431), (None, 200)])
def test_header_limit_is_taken_from_the_configuration(limits, status):
    # A header of 20 KB was rejected although the configuration allows 32 KB.
    if limits is None:
        limits = {"max-header-bytes": 32768}

    async def test(fixture):
        fixture.configure(version=CONFIG_FIELDS["version"] + 1, limits=limits)
        answer = await fixture.send(
            build_request("/once/x", f"X-Long: {'a' * 20000}")
        )
        assert read_status(answer) == status

    run(answer_ok, test)


@pytest.mark.parametrize(
    "values, parts",
    [
        ((), ()),
        (("",), ()),
        (("5c1e07a2:800",), ()),
        (
            ("5C1E07A2:800,91bd3f06:410,e4402b7d:250",),
            ("5c1e07a2", "91bd3f06"),
        ),
        (("5c1e07a2:800", "91bd3f06:410"), ("5c1e07a2",)),
        (("a:1,a:1,b:2",), ("a",)),
        ((",,:5, b :x,not hexadecimal:-1,c:1",), ("b", "not hexadecimal")),
    ],
    ids=["none", "empty", "own", "shared", "lines", "repeated", "malformed"],
)
def test_shared_parts_of_a_prompt_are_read(values, parts):
    # A list that can't be read must not cost its caller the answer.
    assert callers._read_shared_parts(values) == parts


def test_a_long_list_of_parts_is_read_to_a_bound():
    values = (",".join(f"{number:x}:1" for number in range(100_000)),)
    parts = callers._read_shared_parts(values)
    assert len(parts) == callers.MAX_PROMPT_PARTS - 1


def test_unknown_route_or_key_is_not_denied_before_the_newest_is_known():
    # Guards against a 404 or 401 for what was added while this entry heard no
    # voter: a caller does not come back after it.
    async def test(fixture):
        fixture.entry.state.find_doubt = lambda: Doubt.NO_WORD
        wrong_key = build_request("/once/x").replace(b"k1", b"k9")
        for request in (build_request("/none/x"), wrong_key):
            answer = await fixture.send(request)
            assert read_status(answer) == 503
            assert b"Retry-After: 0.3" in answer
        assert read_status(await fixture.send(build_request("/once/x"))) == 200

    run(answer_ok, test)


def test_body_that_comes_as_an_entry_leaves_early_is_answered():
    # Guards against a connection closed without an answer after the drain.
    async def script(head, writer):
        raise AssertionError("sent")

    async def test():
        async with EntryFixture(script) as fixture:
            fixture.configure()
            await fixture.entry.drain()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", fixture.port
            )
            request = build_request("/once/x", body=b"abcd")
            writer.write(request[:-1])
            await asyncio.sleep(0.05)
        assert read_status(await reader.read()) == 503
        writer.close()

    asyncio.run(test())
