"""Steps of the request path: streams, resumption and claims."""

import http.client
import json
import pathlib
import threading
import time

from behave import given
from behave import step
from behave import then
from behave import when

from chivepier.standins.cluster import find_port
from chivepier.standins.cluster import LocalCluster

ENGINES = ("e0", "e1")
STEP_SECONDS = 0.01
END_SECONDS = 40


class Caller(threading.Thread):
    """Reads a stream to its end, and may go on with it elsewhere."""

    def __init__(self, address, tokens, team="advisers", last=""):
        super().__init__(daemon=True)
        self.tokens = tokens
        self.indexes = []
        self.generations = set()
        self.last = last
        self.ended = False
        self.error = None
        self.status = 0
        self._rest = None
        self._team = team
        self._connection = http.client.HTTPConnection(address, timeout=60)
        self.start()

    def run(self):
        """Read until the last event, or until the link breaks."""
        body = {
            "model": "drafting",
            "prompt": f"Explain, please. #length={self.tokens}#",
            "stream": True,
            "max_tokens": self.tokens,
        }
        headers = {"Authorization": f"Bearer {self._team}-key"}
        if self.last:
            headers["Last-Event-ID"] = self.last
        try:
            self._connection.request(
                "POST", "/v1/completions", json.dumps(body), headers
            )
            answer = self._connection.getresponse()
            self.status = answer.status
            if self.status != 200:
                self.error = json.loads(answer.read())["error"]
            else:
                self._read(answer)
        except (OSError, ValueError, http.client.HTTPException):
            return

    def _read(self, answer):
        for line in answer:
            line = line.decode().strip()
            if line == "data: [DONE]":
                self.ended = True
            elif line.startswith("id: "):
                self.last = line[4:]
                self.indexes.append(int(line.rpartition(".")[2]))
            elif line.startswith('data: {"error"'):
                self.error = json.loads(line[6:])["error"]
            elif line.startswith("data: "):
                self.generations.add(json.loads(line[6:])["id"])

    def go_on(self, address):
        """Resume at another entry, beside what was received."""
        self._rest = Caller(address, self.tokens, self._team, self.last)

    def reads_on(self):
        """Tell whether the resumed stream hasn't ended."""
        return self._rest.is_alive()

    def _add_rest(self):
        rest = self._rest
        rest.join(END_SECONDS)
        assert rest.status == 200, rest.error
        self.indexes += rest.indexes
        self.generations |= rest.generations
        self.ended = rest.ended
        self._rest = None

    def leave(self):
        """Close the connection."""
        self._connection.sock.shutdown(2)
        self._connection.close()

    def check(self):
        """Assert that the answer was whole, from one generation."""
        self.join(END_SECONDS)
        if self._rest is not None:
            self._add_rest()
        assert self.ended, (self.status, self.error, self.indexes[-3:])
        assert self.indexes == list(range(self.tokens)), self.indexes[-3:]
        assert len(self.generations) == 1, self.generations


def call_target(context, name, path, body=None):
    """Talk to a stand-in directly."""
    address = context.targets[name]
    status, plain = context.cluster.call(address, path, body)
    assert status == 200, plain
    return plain


def read_state(context, name):
    """Return an engine's counts, nothing for one that is gone."""
    status, plain = context.cluster.call(context.targets[name], "/-/state")
    return plain if status == 200 else {"runs": 0, "cancels": 0}


@given("a request path of {disks:d} instance with disk and {others:d} without")
@given(
    "a request path of {disks:d} instances with disks and {others:d} without"
)
def start_path(context, disks, others):
    """Start instances, two engines and a service, and configure them."""
    cluster = LocalCluster(pathlib.Path(context.folder.name), disks, others)
    context.cluster = cluster
    cluster.start_all()
    context.targets = {}
    for name in (*ENGINES, "s0"):
        port = find_port()
        context.targets[name] = f"127.0.0.1:{port}"
        if name in ENGINES:
            options = ("--pool=drafting", "--model=plain-english-8b@1")
            options += (f"--step-seconds={STEP_SECONDS}",)
            cluster.start_standin("engine", name, *options, f"--port={port}")
        else:
            options = ("--pool=web-app", f"--port={port}")
            cluster.start_standin("service", name, *options)
    cluster.run_cli("apply", "-f", "examples/fairway.yaml")

    def known():
        return len(cluster.status("n1").get("targets", ())) == 3

    cluster.wait_until(known, "all targets")


@given("the engines stall a link after {tokens:d} tokens")
def stall(context, tokens):
    """Stop the bytes of each engine's next stream."""
    for name in ENGINES:
        call_target(context, name, "/-/faults", {"stall_after": tokens})


@given('engine "{name}" crosses its answers')
def cross(context, name):
    """Let all its answers name another generation."""
    call_target(context, name, "/-/faults", {"cross": True})


@when('a caller streams {tokens:d} tokens through "{node}"')
def start_caller(context, tokens, node):
    """Begin a stream."""
    context.caller = Caller(context.cluster.http[node], tokens)


@when('{count:d} callers stream {tokens:d} tokens through "{node}"')
def run_callers(context, count, tokens, node):
    """Stream one after the other."""
    address = context.cluster.http[node]
    context.callers = [Caller(address, tokens) for _ in range(count)]


def await_tokens(context, tokens):
    """Wait until the caller has some tokens."""

    def arrived():
        return len(context.caller.indexes) >= tokens

    context.cluster.wait_until(arrived, f"{tokens} tokens")


@step("its engine is killed after {tokens:d} tokens")
def kill_engine(context, tokens):
    """Kill the engine that serves the stream."""
    await_tokens(context, tokens)
    for name in ENGINES:
        if read_state(context, name)["runs"]:
            context.cluster.processes[name].kill()
            context.killed_runs = 1


@when("the process of one engine is gone")
def kill_one(context):
    """Kill an engine that is still announced."""
    context.cluster.processes["e0"].kill()
    context.cluster.processes["e0"].wait()


@step('"{node}" is killed after {tokens:d} tokens')
def kill_entry(context, node, tokens):
    """Kill the entry amid the stream."""
    await_tokens(context, tokens)
    context.cluster.processes[node].kill()
    context.caller.join(END_SECONDS)
    assert not context.caller.ended


@when('the caller goes on through "{node}"')
def go_on(context, node):
    """Resume with the last id."""
    context.caller.go_on(context.cluster.http[node])


@then('team "{team}" can\'t go on with the stream through "{node}"')
def refuse_other_team(context, team, node):
    """Try the caller's last id with another team's key."""
    address = context.cluster.http[node]
    other = Caller(address, 5, team, context.caller.last)
    other.join(END_SECONDS)
    assert other.error["kind"] == "forbidden", other.error
    assert other.indexes == []


@then('"{node}" adopts its generation, which the owners count once')
def check_adopted(context, node):
    """Compare the owners' permits once the entry has the generation."""
    # the killed entry may have been the owner: a deputy is told first, and
    # the next owner hears of the permit as it takes the shard over
    end = time.monotonic() + END_SECONDS
    counted = 0
    while counted != 1 or not count_adoptions(context, node):
        assert context.caller.reads_on(), "the stream ended before"
        assert time.monotonic() < end, f"owners count {counted}"
        time.sleep(STEP_SECONDS)
        counted = count_permits(context)
        assert counted <= 1, f"owners count {counted}"
    assert context.caller.reads_on(), "the stream ended before"


def count_adoptions(context, node):
    """Count the generations that a node took over from lost entries."""
    return sum_metric(context, node, "chivepier_adoptions_total")


def count_permits(context):
    """Count the permits in all owners' records."""
    cluster = context.cluster
    alive = [n for n in cluster.names if cluster.processes[n].poll() is None]
    return sum(sum_metric(context, n, "chivepier_permits") for n in alive)


def sum_metric(context, node, name):
    """Read a node's metric, all labels together."""
    address = context.cluster.http[node]
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    fits = (name + " ", name + "{")
    return sum(float(n.split()[-1]) for n in lines if n.startswith(fits))


@when("it leaves after {tokens:d} tokens")
def leave(context, tokens):
    """Close the caller's connection."""
    await_tokens(context, tokens)
    context.caller.leave()


@then("its generation is cancelled")
def check_cancelled(context):
    """Wait until an engine cancelled it, long before its end."""

    def cancelled():
        return sum(read_state(context, n)["cancels"] for n in ENGINES) == 1

    context.cluster.wait_until(cancelled, "the cancel")


@then("the stream is whole, in order, from one generation")
def check_whole(context):
    """Compare all events."""
    context.caller.check()


@then("every stream is whole, in order, from one generation")
def check_all_whole(context):
    """Compare all events of all callers."""
    for caller in context.callers:
        caller.check()


@then('the stream ends with "{kind}", ran "{ran}" and a time to return')
def check_lost(context, kind, ran):
    """Read the last event."""
    context.caller.join(END_SECONDS)
    error = context.caller.error
    assert error is not None, context.caller.indexes[-3:]
    assert (error["kind"], error["ran"]) == (kind, ran), error
    assert error["retry_after"] is not None
    count = len(context.caller.indexes)
    assert context.caller.indexes == list(range(count))
    assert not context.caller.ended


@then("the engines ran {count:d} generation in all")
def check_runs(context, count):
    """Add up the engines' counts, that of a killed one included."""
    runs = sum(read_state(context, name)["runs"] for name in ENGINES)
    runs += getattr(context, "killed_runs", 0)
    assert runs == count, runs


@given("the service loses its next answer")
def lose_answer(context):
    """Run the next call and close its connection."""
    call_target(context, "s0", "/-/faults", {"drop_answer": True})


@given("the service takes {seconds:d} seconds")
def slow_service(context, seconds):
    """Let calls run at once and answer late."""
    call_target(context, "s0", "/-/faults", {"delay": seconds})


def write(context, record, key, node):
    """Write a record and keep the answer."""
    connection = http.client.HTTPConnection(
        context.cluster.http[node], timeout=60
    )
    headers = {
        "Authorization": "Bearer advisers-key",
        "Idempotency-Key": key,
    }
    path = f"/v1/services/case-records/records/{record}"
    connection.request("POST", path, b"{}", headers)
    answer = connection.getresponse()
    context.status, context.headers = answer.status, answer.headers
    context.before = getattr(context, "body", None)
    context.body = answer.read()


@step('record "{record}" is written with key "{key}" through "{node}"')
def write_record(context, record, key, node):
    """Send it and wait for the answer."""
    write(context, record, key, node)


@step(
    'record "{record}" is sent again with key "{key}" through "{node}"'
    ' until "{kind}"'
)
def write_until(context, record, key, node, kind):
    """Send it again and again; until then it is in progress."""
    end = time.monotonic() + END_SECONDS
    while time.monotonic() < end:
        write(context, record, key, node)
        error = json.loads(context.body)["error"]
        if error["kind"] == kind:
            return
        assert error["kind"] == "in_progress", error
        assert error["ran"] != "no", error
        time.sleep(0.1)


@when('record "{record}" is sent with key "{key}" through "{node}"')
def send_record(context, record, key, node):
    """Send it and don't wait."""

    def run():
        try:
            write(context, record, key, node)
        except (OSError, http.client.HTTPException):
            return

    threading.Thread(target=run, daemon=True).start()


def read_runs(context, key):
    """Return how often a key ran."""
    return call_target(context, "s0", "/-/runs").get(key, 0)


@step('"{node}" is killed once key "{key}" ran')
def kill_after_run(context, node, key):
    """Kill the entry while the service works."""
    context.cluster.wait_until(
        lambda: read_runs(context, key), f"a run of {key}"
    )
    context.cluster.processes[node].kill()


@then('key "{key}" ran {count:d} time')
def check_key(context, key, count):
    """Read the service's count."""
    assert read_runs(context, key) == count


@then("the call succeeds")
def check_success(context):
    """Expect 200."""
    assert context.status == 200, context.body


@then("the call gets the same answer, marked as replayed")
def check_replay(context):
    """Compare it with the answer before."""
    assert context.status == 200, context.body
    assert context.body == context.before
    assert context.headers["Idempotency-Replayed"] == "true"
