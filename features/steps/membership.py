"""Steps of membership, ownership and graceful stops."""

import json
import signal
import threading
import time
import urllib.error
import urllib.request

from behave import given
from behave import then
from behave import when

from chivepier.membership import find_owner
from chivepier.messages import Member

POLL_SECONDS = 0.02
END_SECONDS = 40
CALLERS = 4


def ask_body(tokens):
    """Build a request for an answer of so many tokens."""
    return {
        "model": "drafting",
        "prompt": f"Explain this agreement, please. #length={tokens}#",
        "stream": True,
        "max_tokens": tokens,
    }


TOO_MANY = 429


class Stream(threading.Thread):
    """One caller that reads a streamed answer to its end."""

    def __init__(self, address, tokens, team="advisers"):
        super().__init__(daemon=True)
        self.tokens = tokens
        self.indexes = []
        self.generations = set()
        self.ended = False
        self.status = None
        self.body = b""
        self.request = urllib.request.Request(
            f"http://{address}/v1/completions",
            data=json.dumps(ask_body(tokens)).encode(),
            headers={
                "Authorization": f"Bearer {team}-key",
                "Content-Type": "application/json",
            },
        )

    def run(self):
        """Read until the last event; come back when told to."""
        while self._ask():
            error = json.loads(self.body)["error"]
            threading.Event().wait(error["retry_after"])

    def _ask(self):
        """Send the request; return whether it was refused for a while."""
        try:
            with urllib.request.urlopen(self.request, timeout=60) as answer:
                self.status = answer.status
                for line in answer:
                    self._read(line.decode().strip())
        except urllib.error.HTTPError as error:
            self.status, self.body = error.code, error.read()
        except OSError as error:
            self.status, self.body = 0, repr(error).encode()
        return self.status == TOO_MANY

    def _read(self, line):
        if line == "data: [DONE]":
            self.ended = True
        elif line.startswith("id: "):
            self.indexes.append(int(line.rpartition(".")[2]))
        elif line.startswith("data: ") and "error" not in line:
            self.generations.add(json.loads(line[6:])["id"])

    def check(self):
        """Assert that the answer was whole, from one generation."""
        self.join(END_SECONDS)
        assert self.status == 200, (self.status, self.body)
        assert self.ended, self.indexes[-3:]
        assert self.indexes == list(range(self.tokens)), self.indexes[-3:]
        assert len(self.generations) == 1, self.generations


class Callers(threading.Thread):
    """Asks for addresses, connects to the first, and counts refusals."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.stopped = threading.Event()
        self.refused = []
        self.served = 0

    def run(self):
        """Keep an answer for its time to live, then ask again."""
        while not self.stopped.is_set():
            answer = self._ask()
            if answer is None:
                continue
            end = time.monotonic() + answer["ttl"]
            while time.monotonic() < end and not self.stopped.is_set():
                self._connect([a["address"] for a in answer["addresses"]])

    def _ask(self):
        for address in self.cluster.http.values():
            status, answer = self.cluster.call(address, "/v1/addresses")
            if status == 200:
                return answer
        return None

    def _connect(self, addresses):
        for address in addresses:
            stream = Stream(address, 2)
            stream.run()
            if stream.status == 0 or b"draining" in stream.body:
                self.refused.append((address, stream.body))
            self.served += stream.status == 200


def owner_of(context, pool, through):
    """Return the name of a pool's owner, as one instance sees it."""
    status = context.cluster.status(through)
    members = [Member(**m) for m in status["members"]]
    return find_owner(pool, 0, members).name


def others(context):
    """Return the names of instances that answer."""
    processes = context.cluster.processes
    skipped = getattr(context, "away", set())
    return [
        n
        for n in context.cluster.names
        if n not in skipped and processes[n].poll() is None
    ]


def set_away(context, name):
    """Note that an instance doesn't answer now."""
    context.away = getattr(context, "away", set()) | {name}


@given("{count:d} engine with {streams:d} streams")
@given("{count:d} engines with {streams:d} streams")
def start_engines(context, count, streams):
    """Start stand-ins and wait until an owner knows them."""
    cluster = context.cluster
    context.engine_streams = streams
    for number in range(count):
        cluster.start_standin(
            "engine",
            f"e{number}",
            "--pool=drafting",
            "--model=plain-english-8b",
            f"--streams={streams}",
        )

    def known():
        return len(cluster.status("n1").get("targets", ())) == count

    cluster.wait_until(known, "all targets")
    context.engines = {
        t["target"]: t["address"] for t in cluster.status("n1")["targets"]
    }
    watch_engines(context)


def watch_engines(context):
    """Keep the most that each engine had at once."""
    context.most = most = {}
    cluster, engines = context.cluster, dict(context.engines)
    ended = threading.Event()
    context.add_cleanup(ended.set)

    def watch():
        while not ended.is_set():
            for name, address in engines.items():
                _, state = cluster.call(address, "/-/state")
                if "running" in state:
                    held = state["running"] + state["waiting"]
                    most[name] = max(most.get(name, 0), held)
            time.sleep(POLL_SECONDS)

    threading.Thread(target=watch, daemon=True).start()


def resolve(context, name):
    """Turn ``the leader`` and ``the old leader`` into a name."""
    if name == "the leader":
        address = context.cluster.status("n1")["leader"]
        peers = {a: n for n, a in context.cluster.peer.items()}
        context.leader = peers[address]
        return context.leader
    if name == "the old leader":
        return context.leader
    if name == "an instance that is left":
        return others(context)[-1]
    if name.startswith("the owner of"):
        pool = name.split('"')[1]
        context.owner = owner_of(context, pool, others(context)[-1])
        return context.owner
    return name.strip('"')


@given("{name} is cut off from all others")
@when("{name} is cut off from all others")
def cut_off(context, name):
    """Cut all links silently."""
    context.cluster.cut(resolve(context, name), "*")


@when("{name} is reached again")
def heal(context, name):
    """Heal the links."""
    context.cluster.cut(resolve(context, name))


@when("{name} is killed")
def kill(context, name):
    """Kill -9."""
    name = resolve(context, name)
    set_away(context, name)
    process = context.cluster.processes[name]
    process.kill()
    process.wait()


@when("{name} is stopped")
def stop(context, name):
    """Send SIGSTOP."""
    name = resolve(context, name)
    set_away(context, name)
    context.cluster.processes[name].send_signal(signal.SIGSTOP)


@when("{name} gets SIGTERM")
def terminate(context, name):
    """Ask for a graceful stop."""
    name = resolve(context, name)
    set_away(context, name)
    context.cluster.processes[name].send_signal(signal.SIGTERM)


@then("{name} ends with exit code {code:d}")
def check_end(context, name, code):
    """Wait for the process to end by itself."""
    process = context.cluster.processes[resolve(context, name)]
    assert process.wait(END_SECONDS) == code


@when('the operator removes team "{team}" through "{name}"')
def remove_team(context, team, name):
    """Remove a team; keep the answer."""
    address = context.cluster.http[name]
    path = f"/v1/operator/documents/team/{team}"
    version = context.cluster.call(address, path)[1]["version"]
    edit = {
        "kind": "team",
        "name": team,
        "base_version": version,
        "spec": None,
    }
    change = {"change_id": f"remove-{team}", "edits": [edit]}
    context.answer = context.cluster.call(
        address, "/v1/operator/changes", change
    )


@then("the change was accepted")
def check_accepted(context):
    """Look at the kept answer."""
    assert context.answer[0] == 200, context.answer


@then('the change was refused with "{kind}"')
def check_refused(context, kind):
    """Look at the kept answer."""
    assert context.answer[1]["error"]["kind"] == kind, context.answer


@then('{name} refuses team "{team}" with "{kind}" and ran "{ran}"')
def check_team(context, name, team, kind, ran):
    """Send a request and compare the error."""
    address = context.cluster.http[resolve(context, name)]
    body = {**ask_body(2), "stream": False}
    _, answer = context.cluster.call(
        address, "/v1/completions", body, f"{team}-key"
    )
    assert answer.get("error", {}).get("kind") == kind, answer
    assert answer["error"]["ran"] == ran, answer


@then("{name} hands out no addresses")
def check_addresses(context, name):
    """Ask for addresses."""
    address = context.cluster.http[resolve(context, name)]
    status, answer = context.cluster.call(address, "/v1/addresses")
    assert status == 503, answer
    assert answer["error"]["kind"] == "not_ready", answer


@then("{name} becomes ready")
def wait_ready(context, name):
    """Wait for readiness."""
    name = resolve(context, name)
    context.cluster.wait_until(
        lambda: context.cluster.is_up(name, "/readyz"), f"{name} ready"
    )


@then('{name} serves team "{team}"')
def check_served(context, name, team):
    """Stream a short answer, once the owner is found."""
    address = context.cluster.http[resolve(context, name)]

    def served():
        stream = Stream(address, 5, team)
        stream.run()
        return stream.status == 200 and stream.ended

    context.cluster.wait_until(served, f"{team} served at {name}")


@when('team "{team}" asks "{name}" just before it is continued')
def ask_stopped(context, team, name):
    """Leave a request in the stopped process's socket, then SIGCONT."""
    stream = Stream(context.cluster.http[name], 5, team)
    stream.start()
    context.cluster.processes[name].send_signal(signal.SIGCONT)
    stream.join(END_SECONDS)
    context.stopped_stream = stream


@then("that request was refused and nothing ran")
def check_stopped(context):
    """Look at the answer and at the engines."""
    stream = context.stopped_stream
    assert stream.status in (401, 503), (stream.status, stream.body)
    assert json.loads(stream.body)["error"]["ran"] == "no", stream.body
    for address in context.engines.values():
        _, state = context.cluster.call(address, "/-/state")
        assert state["runs"] in (0, {}, []), state


@when('another instance owns "{pool}"')
def wait_owner(context, pool):
    """Wait until the others see another owner that knows the engines."""
    through = others(context)[0]

    def moved():
        if owner_of(context, pool, through) == context.owner:
            return False
        targets = context.cluster.status(through)["targets"]
        return len(targets) == len(context.engines)

    context.cluster.wait_until(moved, "another owner")


@when("{count:d} streams of {tokens:d} tokens run through the others")
def start_streams(context, count, tokens):
    """Start streams at instances that answer and don't own."""
    owner = owner_of(context, "drafting", others(context)[0])
    able = [n for n in others(context) if n != owner]
    context.streams = getattr(context, "streams", [])
    for number in range(count):
        start_stream(context, tokens, able[number % len(able)])


@when('a stream of {tokens:d} tokens runs through "{name}"')
def start_stream(context, tokens, name):
    """Start a stream and wait for its first token."""
    stream = Stream(context.cluster.http[name], tokens)
    stream.start()
    context.streams = [*getattr(context, "streams", []), stream]
    context.cluster.wait_until(
        lambda: stream.indexes or not stream.is_alive(),
        "first token",
        END_SECONDS,
    )
    assert stream.indexes, (stream.status, stream.body)


@when("an answer of {tokens:d} tokens is asked for until it is served")
def ask_until_served(context, tokens):
    """Ask again and again: a refusal must say that nothing ran."""
    name = others(context)[0]

    def served():
        stream = Stream(context.cluster.http[name], tokens)
        stream.start()
        stream.join(END_SECONDS)
        if stream.status != 200:
            error = json.loads(stream.body)["error"]
            assert error["ran"] == "no", error
        context.streams += [stream] if stream.status == 200 else []
        return stream.status == 200

    context.cluster.wait_until(served, "an answer", END_SECONDS)


@when("a request waits at the old owner as it is continued")
def ask_old_owner(context):
    """Ask the resumed process, which may still think that it owns."""
    name = context.owner
    stream = Stream(context.cluster.http[name], 5)
    stream.start()
    context.cluster.processes[name].send_signal(signal.SIGCONT)
    stream.join(END_SECONDS)
    assert not stream.is_alive()


@then("no engine had more than its streams")
def check_most(context):
    """Look at the most that was seen at once."""
    for name, most in context.most.items():
        assert most <= context.engine_streams, (name, most)


@then("all streams were whole")
def check_streams(context):
    """Check each stream to its end."""
    for stream in context.streams:
        stream.check()


@when("callers keep asking for addresses and connecting")
def start_callers(context):
    """Start the callers and wait until they are served."""
    context.callers = Callers(context.cluster)
    context.callers.start()
    context.add_cleanup(context.callers.stopped.set)
    context.cluster.wait_until(lambda: context.callers.served, "callers")


@then("no caller met a refused connection")
def check_callers(context):
    """Look at what the callers met."""
    context.callers.stopped.set()
    context.callers.join(END_SECONDS)
    assert not context.callers.refused, context.callers.refused


@then('"{name}" lists no member "{gone}"')
def check_members(context, name, gone):
    """Look at the members."""
    members = context.cluster.status(name)["members"]
    assert gone not in [m["name"] for m in members], members


@when('engine "{engine}" leaves while requests come')
def leave(context, engine):
    """Announce leaving under load, and keep the counts after."""
    cluster = context.cluster
    callers = [Callers(cluster) for _ in range(CALLERS)]
    for caller in callers:
        caller.start()
        context.add_cleanup(caller.stopped.set)
    address = context.engines[engine]
    cluster.wait_until(lambda: count_runs(context, engine), "first run")
    cluster.call(address, "/-/leave", {})

    def announced():
        targets = cluster.status("n1")["targets"]
        return any(t["target"] == engine and t["leaving"] for t in targets)

    cluster.wait_until(announced, "leaving known")
    before = sum(caller.served for caller in callers)
    context.counted = count_runs(context, engine)
    cluster.wait_until(
        lambda: sum(c.served for c in callers) >= before + 40, "more served"
    )
    for caller in callers:
        caller.stopped.set()
    for caller in callers:
        caller.join(END_SECONDS)


def count_runs(context, engine):
    """Return how many generations an engine ran."""
    _, state = context.cluster.call(context.engines[engine], "/-/state")
    runs = state["runs"]
    return runs if isinstance(runs, int) else len(runs)


@then('engine "{engine}" got no request 2 seconds after it announced that')
def check_left(context, engine):
    """Compare the counts: a permit already given may still be used."""
    after = count_runs(context, engine)
    assert after - context.counted <= CALLERS, (context.counted, after)
