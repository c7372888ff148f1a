"""Steps of orders to targets."""

import json
import pathlib
import sys
import threading

from behave import given
from behave import step
from behave import then
from behave import when

from chivepier.standins.cluster import find_port
from chivepier.standins.cluster import LocalCluster

MODEL = "plain-english-8b"
RATE = 2.0
END_SECONDS = 40
TEMPLATE = """\
kind: template
name: drafting
spec:
  pool: drafting
  model: {model}
  model_version: "{version}"
  min_targets: {least}
"""


class Watch(threading.Thread):
    """Reads engines' models again and again, and notes the fewest."""

    def __init__(self, context):
        super().__init__(daemon=True)
        self._context = context
        self._ended = threading.Event()
        self.fewest = None
        self.start()

    def run(self):
        """Count the engines that have the model in some version."""
        while not self._ended.wait(0.02):
            states = [read_engine(self._context, n) for n in engines()]
            count = sum(bool(s["models"]) for s in states)
            self.fewest = min(count, self.fewest or count)

    def end(self):
        """Stop and return the fewest."""
        self._ended.set()
        self.join()
        return self.fewest


def engines():
    """Return the engines' names."""
    return ("e0", "e1", "e2")


def read_engine(context, name):
    """Return what a stand-in engine says of itself."""
    status, plain = context.cluster.call(context.targets[name], "/-/state")
    if status != 200:
        return {"models": [], "orders": [], "fence": 0}
    return plain


@given('an order path with {count:d} engines at version "{version}"')
def start_same(context, count, version):
    """Start instances, a weight store and engines that have the model."""
    start(context, count, count, version)


@given('an order path with an engine at version "{version}" and 2 set apart')
def start_some(context, version):
    """Start engines of which two have no model and don't serve."""
    start(context, 3, 1, version, apart=("e1", "e2"))


def start(context, count, having, version, apart=()):
    """Start everything and wait until all is known."""
    cluster = LocalCluster(pathlib.Path(context.folder.name), 3, 0)
    context.cluster = cluster
    cluster.start_all()
    store = find_port()
    context.store = f"127.0.0.1:{store}"
    cluster.start(
        "store",
        standin("weightstore", f"--port={store}", f"--rate={RATE}"),
    )
    context.targets = {}
    for number, name in enumerate(engines()[:count]):
        port = find_port()
        context.targets[name] = f"127.0.0.1:{port}"
        options = ["--pool=drafting", f"--port={port}"]
        options.append(f"--store={context.store}")
        if number < having:
            options.append(f"--model={MODEL}@{version}")
        # one of them obeys whatever number an order carries
        options.append("--ignores-fence" if number == 1 else "--checks-fence")
        cluster.start_standin("engine", name, *options)
    for name in apart:
        set_apart(context, name)

    def known():
        targets = cluster.status("n1").get("targets", ())
        spare = {t["target"] for t in targets if t["role"] == "spare"}
        return len(targets) == count and spare == set(apart)

    cluster.wait_until(known, "all engines")
    cluster.run_cli("apply", "-f", "examples/fairway.yaml")


def set_apart(context, name):
    """Give an engine a role in which it serves nobody."""
    order = {"fence": 0, "order": "set_role", "role": "spare", "deadline": 1}
    address = context.targets[name]

    def done():
        return context.cluster.call(address, "/v1/orders", order)[0] == 200

    context.cluster.wait_until(done, f"{name} set apart")


def standin(module, *options):
    """Return the command of a stand-in that announces nothing."""
    return [sys.executable, "-m", f"chivepier.standins.{module}", *options]


@when('the operator sets version "{version}" with {least:d} targets at least')
def set_version(context, version, least):
    """Amend the template."""
    context.watch = Watch(context)
    path = pathlib.Path(context.folder.name) / "amended.yaml"
    path.write_text(TEMPLATE.format(model=MODEL, version=version, least=least))
    context.cluster.run_cli("apply", "-f", str(path))


@step("the leader is killed after the first order")
def kill_leader(context):
    """Kill the voter that leads, once an engine has an order."""
    cluster = context.cluster

    def ordered():
        return any(read_engine(context, n)["orders"] for n in engines())

    cluster.wait_until(ordered, "the first order")
    leader = cluster.status("n1")["leader"]
    name = next(n for n, peer in cluster.peer.items() if peer == leader)
    cluster.processes[name].kill()


@step('engine "{name}" is reclaimed')
def reclaim(context, name):
    """Give it a few seconds' notice."""
    apart = [read_engine(context, other) for other in ("e1", "e2")]
    assert not any(state["models"] for state in apart), apart
    address = context.targets[name]
    context.cluster.call(address, "/-/reclaim", {"seconds": 5})


@then('all engines come to serve version "{version}" alone')
def check_version(context, version):
    """Wait for the intended state."""
    wanted = [f"{MODEL}@{version}"]

    def reached():
        states = [read_engine(context, name) for name in engines()]
        return all(state["models"] == wanted for state in states)

    context.cluster.wait_until(reached, "the new version", END_SECONDS)


@then("{least:d} engines served all the time")
def check_fewest(context, least):
    """Compare the fewest with the template's minimum."""
    assert context.watch.end() >= least, context.watch.fewest


@then("loads kept to the weight store's rate")
def check_rate(context):
    """Expect that no more than the first few loads were refused."""
    _, plain = context.cluster.call(context.store, "/-/state")
    assert plain["served"] >= 3, plain
    assert plain["refused"] <= 1, plain


@then("no engine saw an old fencing number after a new one")
def check_fences(context):
    """Read the numbers of the orders that each engine carried out."""
    leaders = set()
    for name in engines():
        fences = [o["fence"] for o in read_engine(context, name)["orders"]]
        assert fences == sorted(fences), json.dumps(fences)
        leaders.update(fences)
    assert len(leaders) == 2, leaders


@then('another engine comes to serve version "{version}"')
def check_replaced(context, version):
    """Wait until one that had no model has it."""
    wanted = f"{MODEL}@{version}"

    def replaced():
        states = [read_engine(context, name) for name in ("e1", "e2")]
        return any(
            wanted in state["models"] and state["role"] == "serve"
            for state in states
        )

    context.cluster.wait_until(replaced, "the replacement", END_SECONDS)
