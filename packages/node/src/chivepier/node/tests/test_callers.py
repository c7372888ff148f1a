"""The callers' interface over real connections."""

import asyncio
import contextlib
import hashlib
import json

import aiohttp
from aiohttp import web
import attrs
import pytest

from chivepier.documents import Grant
from chivepier.documents import pack_spec
from chivepier.documents import RouteRule
from chivepier.documents import Team
from chivepier.documents import Template
from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Entry as LogEntry
from chivepier.messages import PermitOutcome
from chivepier.node import adoption
from chivepier.node.answers import make_error_middleware
from chivepier.node.callers import Callers
from chivepier.node.directory import Directory
from chivepier.node.services import Services
import chivepier.node.tests.fakeengine as fake
from chivepier.node.tests.fakeengine import FakeEngine
from chivepier.node.tests.fakeentry import make_entry
from chivepier.node.tests.fakeentry import SHORT
from chivepier.types import TargetKind

BODY = {"model": "drafting", "prompt": "p", "stream": True}
MAX_BODY = 1 << 20
PATH = "/v1/completions"

# For tests that count how often an engine is asked: an entry that hears
# nothing for 0.1 s asks again, also when only the test's process was held up.
CALM = attrs.evolve(SHORT, silence=5.0, longest_silence=5.0)


def configure(machine):
    """Give two teams a template each of both kinds."""
    template = Template(pool="p", model="m")
    rule = RouteRule(path="/records", methods=("POST",))
    service = Template(pool="s", kind=TargetKind.SERVICE, routes=(rule,))
    specs = [("template", "drafting", template), ("template", "s", service)]
    for name in ("advisers", "volunteers"):
        digest = hashlib.sha256(f"{name}-key".encode()).hexdigest()
        grants = {"drafting": Grant(), "s": Grant()}
        spec = Team(key_sha256=(digest,), grants=grants)
        specs.append(("team", name, spec))
    edits = tuple(Edit(k, n, 0, pack_spec(s)) for k, n, s in specs)
    command = encode(ChangeCommand("c", "o", edits))
    machine.apply(LogEntry(1, machine.index + 1, command))


class Site:
    """One entry's interface, its targets and a client."""

    def __init__(self, entry, address, http):
        self.entry = entry
        self.address = address
        self.http = http

    def post(self, path=PATH, body=BODY, team="advisers", **headers):
        headers["Authorization"] = f"Bearer {team}-key"
        data = json.dumps(body) if isinstance(body, dict) else body
        url = f"http://{self.address}{path}"
        return self.http.post(url, data=data, headers=headers)

    def get(self, path, team="advisers", **headers):
        headers["Authorization"] = f"Bearer {team}-key"
        url = f"http://{self.address}{path}"
        return self.http.get(url, headers=headers)

    def count(self, name, **labels):
        registry = self.entry.metrics.registry
        return registry.get_sample_value(f"chivepier_{name}", labels) or 0


@contextlib.asynccontextmanager
async def start_site(*addresses, patience=SHORT):
    """Serve the callers' interface on targets."""
    async with make_entry(*addresses, patience=patience) as entry:
        configure(entry.cluster.machine)
        entry.directory = Directory(entry.cluster.machine)
        app = web.Application(
            middlewares=[make_error_middleware(entry.metrics)],
            client_max_size=MAX_BODY,
        )
        callers = Callers(entry)
        callers.add_routes(app)
        Services(entry, callers).add_routes(app)
        runner = web.AppRunner(
            app, handler_cancellation=True, shutdown_timeout=0.05
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        address = "127.0.0.1:%d" % runner.addresses[0][1]
        async with aiohttp.ClientSession() as http:
            yield Site(entry, address, http)
        await runner.cleanup()


def run(work, *scripts, length=8, patience=SHORT):
    """Run a test's body on one entry with one engine."""

    async def play():
        async with FakeEngine(*scripts, length=length) as engine:
            async with start_site(engine.address, patience=patience) as site:
                await work(site, engine)

    asyncio.run(play())


def read_ids(body: bytes) -> list[str]:
    """Return the ids of a stream's events."""
    lines = body.decode().split("\n")
    return [line[4:] for line in lines if line.startswith("id: ")]


def test_a_stream_ends_by_an_error_event_with_all_its_fields():
    """The engine is lost after three tokens, when headers are long sent."""

    async def work(site, engine):
        async with site.post() as answer:
            body = await answer.read()
        assert answer.status == 200 and b"[DONE]" not in body
        last = body.decode().split("\n\n")[-2]
        assert last.startswith("event: error\ndata: ")
        error = json.loads(last.partition("data: ")[2])["error"]
        assert error["kind"] == "generation_lost" and error["ran"] == "yes"
        assert error["retry_after"] is not None
        assert site.count("failures_total", kind=error["kind"], ran="yes") == 1

    run(work, fake.cut_at(3), fake.refuse(404, "unknown"))


@pytest.mark.parametrize("how", ["post", "get", "query"])
def test_a_caller_goes_on_after_its_last_event(how):
    """Its connection broke at event 3; any entry knows the generation."""

    async def work(site, engine):
        async with site.post() as answer:
            ids = read_ids(await answer.read())
        last = ids[3]
        if how == "post":
            request = site.post(**{"Last-Event-ID": last})
        elif how == "get":
            request = site.get("/v1/generations", **{"Last-Event-ID": last})
        else:
            request = site.get(f"/v1/generations?last_event_id={last}")
        async with request as answer:
            body = await answer.read()
        assert read_ids(body) == ids[4:] and body.endswith(b"[DONE]\n\n")
        assert len(engine.posts) == 1 and engine.resumes == [4]
        assert site.count("resumes_total") == 1

    run(work, patience=CALM)


async def break_at_3(site, engine, first=4, end=5):
    """Get a whole answer, and let the engine send less of it next time.

    The reader that resumes gets the rest once the owner was asked.
    """

    async def play(reader):
        response = await reader.open()
        await reader.send(first, end)
        await asyncio.wait_for(site.entry.permits.adopting.wait(), 5)
        await reader.finish(end)
        return response

    async with site.post() as answer:
        ids = read_ids(await answer.read())
    await site.entry.background.join()
    engine.scripts = [play]
    return ids


def test_a_resumed_generation_is_adopted_until_its_end():
    """Its first entry died; the caller goes on here after event 3.

    Without it the owner counts the generation as lost, and guesses its end
    from the target's late reports.
    """

    async def work(site, engine):
        permits = site.entry.permits
        ids = await break_at_3(site, engine)
        (granted,) = permits.inflight
        async with site.post(**{"Last-Event-ID": ids[3]}) as answer:
            body = await answer.read()
        await site.entry.background.join()
        assert read_ids(body) == ids[4:] and body.endswith(b"[DONE]\n\n")
        ((request, target, tokens, permit),) = permits.adopted
        assert (request.pool, request.shard, request.team) == (
            "p",
            0,
            "advisers",
        )
        assert request.entry == "n1"
        assert request.prompt_tokens == granted.request.prompt_tokens
        assert (target, permit) == (engine.address, granted.permit.permit)
        assert tokens == 5
        report = permits.released[-1]
        assert len(permits.released) == 2 and report.permit == permit
        assert (report.outcome, report.tokens) == (PermitOutcome.FINISHED, 8)
        assert permits.inflight[-1].tokens == 8

    run(work)


def test_a_resumed_stream_obeys_a_stop_order():
    """The engine runs short of memory; the owner picks a resumed stream.

    The caller hears that it was stopped early, the generation is cancelled
    and the permit given back; without adoption no order came at all.
    """

    async def work(site, engine):
        permits = site.entry.permits
        ids = await break_at_3(site, engine)
        engine.scripts = [fake.hang_at(5)]
        async with site.post(**{"Last-Event-ID": ids[3]}) as answer:
            await answer.content.readline()
            async with asyncio.timeout(5):
                while len(permits.inflight) < 2:
                    await asyncio.sleep(0.001)
            permits.inflight[-1].stop(3.0)
            body = await answer.read()
        await site.entry.background.join()
        last = body.decode().split("\n\n")[-2]
        error = json.loads(last.partition("data: ")[2])["error"]
        assert error["kind"] == "stopped_early" and error["ran"] == "yes"
        assert error["retry_after"] == 3
        assert engine.cancels == ["1"]
        report = permits.released[-1]
        assert (report.outcome, report.tokens) == (PermitOutcome.CANCELLED, 5)

    run(work)


def test_a_resumed_stream_goes_on_when_no_owner_answers():
    """The owner died with the first entry: the caller gets its tokens."""

    async def work(site, engine):
        permits = site.entry.permits
        ids = await break_at_3(site, engine)
        permits.silent = True
        async with site.post(**{"Last-Event-ID": ids[3]}) as answer:
            body = await answer.read()
        await site.entry.background.join()
        assert read_ids(body) == ids[4:] and body.endswith(b"[DONE]\n\n")
        assert permits.adopting.is_set()
        assert len(permits.released) == 1

    run(work)


def test_a_resumed_stream_is_adopted_once_an_owner_answers(monkeypatch):
    """The owner died with the first entry; another node takes over."""

    async def work(site, engine):
        permits = site.entry.permits
        ids = await break_at_3(site, engine)
        engine.scripts = [fake.hang_at(5)]
        permits.silent = True
        async with site.post(**{"Last-Event-ID": ids[3]}) as answer:
            async with asyncio.timeout(5):
                await permits.adopting.wait()
                permits.silent = False
                while not permits.adopted:
                    await asyncio.sleep(0.001)
            answer.close()
        async with asyncio.timeout(5):
            while len(permits.released) < 2:
                await asyncio.sleep(0.001)
        outcomes = [report.outcome for report in permits.released]
        assert outcomes == [PermitOutcome.FINISHED, PermitOutcome.CANCELLED]

    monkeypatch.setattr(adoption, "RETRY_SECONDS", 0.01)
    run(work)


def test_a_generation_that_is_gone_is_not_adopted():
    """A caller comes back too late; no permit may be counted for it."""

    async def work(site, engine):
        ids = await break_at_3(site, engine)
        engine.scripts = [fake.refuse(404, "unknown")]
        async with site.post(**{"Last-Event-ID": ids[3]}) as answer:
            await answer.read()
        await site.entry.background.join()
        assert not site.entry.permits.adopting.is_set()
        assert len(site.entry.permits.released) == 1

    run(work)


def test_another_teams_stream_cannot_be_resumed():
    async def work(site, engine):
        async with site.post() as answer:
            last = read_ids(await answer.read())[3]
        headers = {"Last-Event-ID": last}
        async with site.post(team="volunteers", **headers) as answer:
            assert answer.status == 403
        assert not engine.resumes

    run(work, patience=CALM)


def test_a_whole_answer_is_whole_or_an_error():
    async def work(site, engine):
        body = {**BODY, "stream": False}
        async with site.post(body=body) as answer:
            plain = await answer.json()
        text = plain["choices"][0]["text"]
        assert text == "".join(f"t{i} " for i in range(8))
        engine.scripts = [fake.cut_at(3), fake.refuse(404, "unknown")]
        async with site.post(body=body) as answer:
            error = (await answer.json())["error"]
        # the only other target is none: what ran is said all the same
        assert answer.status == 503 and error["ran"] == "yes"
        assert "Retry-After" in answer.headers

    run(work)


def test_a_slow_caller_is_ended_and_frees_the_engine():
    """It takes the first bytes and then nothing; the engine goes on.

    Not read, its events fill buffers here and memory at the engine.
    """

    async def flood(reader):
        response = await reader.open()
        await reader.send(0, 1)
        await reader.finish(1)
        return response

    async def work(site, engine):
        reader, writer = await asyncio.open_connection(
            *site.address.split(":"), limit=1024
        )
        data = json.dumps(BODY).encode()
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\n"
        head += "Authorization: Bearer advisers-key\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        while not site.count(
            "failures_total", kind="stopped_early", ran="yes"
        ):
            await asyncio.sleep(0.01)
        while not engine.cancels:
            await asyncio.sleep(0.01)
        writer.close()

    # far more than the sockets' buffers hold
    run(work, flood, length=300_000)


def test_a_caller_that_leaves_while_it_waits_gives_up_its_place():
    """It is queued for a permit; nobody would read the answer."""
    cancelled = asyncio.Event()

    async def wait_for_ever(request):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def work(site, engine):
        site.entry.permits.acquire = wait_for_ever
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                async with site.post():
                    pass
        await cancelled.wait()

    run(work)


def test_a_refusal_is_answered_at_once_with_when_to_return():
    async def work(site, engine):
        site.entry.permits.addresses = []
        async with site.post() as answer:
            error = (await answer.json())["error"]
        assert answer.status == 503 and error["ran"] == "no"
        assert int(answer.headers["Retry-After"]) >= 1

    run(work)


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"x" * (MAX_BODY + 1), 413),
        (b"\xff\xfe", 400),
        (b"", 400),
        (b"[" * 50_000, 400),
        (b'{"model": "drafting", "prompt": "\\ud800"}', 400),
        (b'{"model": "nobody", "prompt": "x"}', 403),
        (b'{"model": "s", "prompt": "x"}', 400),
    ],
)
@pytest.mark.parametrize("chunked", [False, True])
def test_bad_bodies_get_one_error_and_do_no_harm(body, status, chunked):
    async def send():
        for start in range(0, len(body), 1000):
            yield body[start : start + 1000]

    async def work(site, engine):
        data = send() if chunked else body
        async with site.post(body=data) as answer:
            error = (await answer.json())["error"]
        assert answer.status == status and error["ran"] == "no", error
        assert not engine.posts
        async with site.post() as answer:
            assert (await answer.read()).endswith(b"[DONE]\n\n")

    run(work)


def test_a_key_on_a_completion_makes_it_run_once():
    """The caller sends the same completion again under its key."""

    async def work(site, engine):
        for body in (BODY, {**BODY, "stream": False}):
            key = {"Idempotency-Key": f"k{body['stream']}"}
            async with site.post(body=body, **key) as answer:
                first = await answer.read()
            await site.entry.background.join()
            async with site.post(body=body, **key) as answer:
                assert await answer.read() == first
                assert answer.headers["Idempotency-Replayed"] == "true"
        assert len(engine.posts) == 2

    run(work)


def test_a_key_whose_caller_left_before_its_claim_may_be_used():
    """The caller goes while the claim is on its way; nothing was sent.

    The claim is then made for nobody: a resend would hear that it is in
    progress for as long as this entry lives.
    """

    async def work(site, engine):
        commander = site.entry.commander
        run_now, free = commander.run, asyncio.Event()
        asked = asyncio.Event()

        async def run_late(command, timeout):
            asked.set()
            await free.wait()
            return await run_now(command, timeout)

        commander.run = run_late
        key = {"Idempotency-Key": "k"}
        caller = asyncio.create_task(site.post(**key).__aenter__())
        await asked.wait()
        caller.cancel()
        await asyncio.sleep(0.05)
        free.set()
        await site.entry.background.join()
        async with site.post(**key) as answer:
            assert (await answer.read()).endswith(b"[DONE]\n\n")
        assert len(engine.posts) == 1

    run(work)


def test_a_key_whose_caller_left_the_queue_may_be_used():
    """It waits for a permit and goes: the request did not run."""

    async def work(site, engine):
        permits = site.entry.permits
        acquire, waiting = permits.acquire, asyncio.Event()

        async def wait_for_ever(request):
            waiting.set()
            await asyncio.Event().wait()

        permits.acquire = wait_for_ever
        key = {"Idempotency-Key": "k"}
        caller = asyncio.create_task(site.post(**key).__aenter__())
        await waiting.wait()
        caller.cancel()
        permits.acquire = acquire
        while len(site.entry.commander.commands) < 2:
            await asyncio.sleep(0.01)
        async with site.post(**key) as answer:
            assert (await answer.read()).endswith(b"[DONE]\n\n")

    run(work)


def test_a_stream_is_measured_by_team_and_class():
    async def work(site, engine):
        async with site.post() as answer:
            await answer.read()
        await site.entry.background.join()
        labels = {"team": "advisers", "urgency": "normal"}
        for name in ("first_token", "queue_wait", "stall"):
            assert site.count(f"{name}_seconds_count", **labels) == 1, name
        assert site.count("output_tokens_sum", **labels) == 8
        gaps = site.count("inter_token_seconds_count", **labels)
        assert gaps <= 7

    run(work)


def test_an_entry_that_is_not_ready_takes_nothing():
    async def work(site, engine):
        site.entry.cluster.ready = lambda: False
        async with site.post() as answer:
            error = (await answer.json())["error"]
        assert error["kind"] == "not_ready" and error["ran"] == "no"
        assert not engine.posts

    run(work)
