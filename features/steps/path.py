"""Steps of the whole path."""

import json
import pathlib
import urllib.error
import urllib.request

from behave import given
from behave import then
from behave import when

from chivepier.standins.cluster import LocalCluster


def send(address, path, key, body, headers=None):
    """Send a POST and return status and body."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        data=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            **(headers or {}),
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=30) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def choose_address(context):
    """Ask the system which entry to use, as a caller does."""
    answer = json.loads(
        context.cluster.run_cli("--output=json", "addresses").stdout
    )
    return answer["addresses"][0]["address"]


@given("a cluster of {disks:d} instances with disks and {others:d} without")
def start(context, disks, others):
    """Start the processes."""
    context.cluster = LocalCluster(
        pathlib.Path(context.folder.name), disks, others
    )
    context.cluster.start_all()


@given("{engines:d} engines and 1 plain service have announced themselves")
def start_targets(context, engines):
    """Start the stand-ins and wait until an owner knows them."""
    cluster = context.cluster
    for number in range(engines):
        options = ("--pool=drafting", "--model=plain-english-8b")
        cluster.start_standin("engine", f"e{number}", *options)
    cluster.start_standin("service", "s0", "--pool=web-app")

    def known():
        status = json.loads(cluster.run_cli("--output=json", "status").stdout)
        return len(status["targets"]) == engines + 1

    cluster.wait_until(known, "all targets")


@given('the operator applied "{path}"')
def apply_file(context, path):
    """Submit documents."""
    context.cluster.run_cli("apply", "-f", path)


@when('team "{team}" streams {tokens:d} tokens from "{template}"')
def stream(context, team, tokens, template):
    """Stream an answer to its end."""
    body = {
        "model": template,
        "prompt": "Explain this agreement, please.",
        "stream": True,
        "max_tokens": tokens,
    }
    address = choose_address(context)
    path = "/v1/completions"
    context.status, context.body = send(address, path, f"{team}-key", body)


@then("the stream holds {tokens:d} tokens in order from one generation")
def check_stream(context, tokens):
    """Compare indexes and generations of all events."""
    assert context.status == 200, context.body
    events = context.body.decode().split("\n\n")
    assert events[-2] == "data: [DONE]", events[-2:]
    indexes, generations = [], set()
    for event in events[:-2]:
        label, data = event.split("\n")
        indexes.append(int(label.rpartition(".")[2]))
        generations.add(json.loads(data.removeprefix("data: "))["id"])
    assert indexes == list(range(tokens)), indexes
    assert len(generations) == 1, generations


@when('team "{team}" calls "{service}" with POST "{path}"')
def call(context, team, service, path):
    """Call a plain service."""
    address = choose_address(context)
    url = f"/v1/services/{service}/{path}"
    context.status, context.body = send(address, url, f"{team}-key", {"a": 1})


@then("the plain service ran the call once")
def check_call(context):
    """Read the stand-in's count."""
    assert context.status == 200, context.body
    assert json.loads(context.body)["runs"] == 1


@then('the call fails with "{kind}" and ran "{ran}"')
def check_failure(context, kind, ran):
    """Compare the error body."""
    error = json.loads(context.body)["error"]
    assert error["kind"] == kind, error
    assert error["ran"] == ran, error
