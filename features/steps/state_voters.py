"""Steps of voters: repair and forced recovery."""

import shutil

from behave import given
from behave import then
from behave import when
from state_calls import ask
from state_calls import DOCUMENTS
from state_calls import live
from state_calls import VOTERS
from state_calls import write_team


@given('change "{change}" wrote team "{team}"')
@then('change "{change}" can write team "{team}"')
def write(context, change, team):
    """Write a document and note its version."""
    status, answer = write_team(context, change, team)
    assert status == 200, answer
    context.versions = {
        **getattr(context, "versions", {}),
        change: answer["version"],
    }


def lose_folder(context, name):
    """Kill an instance and delete what it kept."""
    process = context.cluster.processes[name]
    process.kill()
    process.wait()
    shutil.rmtree(context.cluster.folder / name)


def find_voter(context, name):
    """Return an instance's identity by its address, as voters show it."""
    address = context.cluster.peer[name]
    _, answer = ask(context, VOTERS)
    nodes = [v["node"] for v in answer["voters"] if v["address"] == address]
    return nodes[0]


@when('the data folder of "{name}" is lost and the instance restarts')
def lose_and_restart(context, name):
    """Make an instance's folder new."""
    context.lost = find_voter(context, name)
    lose_folder(context, name)
    restart(context, name)


@when('"{name}" starts anew')
def restart(context, name):
    """Start an instance and wait until it answers."""
    cluster = context.cluster
    cluster.start_node(name)
    cluster.wait_until(lambda: cluster.is_up(name), f"{name} up")


@when('"{name}" is killed and its data folder is lost')
def lose(context, name):
    """Lose an instance for good."""
    lose_folder(context, name)


@then('"{name}" has a new identity and no vote')
def check_new(context, name):
    """Compare identities in what the survivors say."""
    cluster = context.cluster
    status = cluster.status(live(context)[0])
    voters = {v["node"] for v in status["voters"]}
    assert context.lost in voters, status["voters"]
    started = [
        line
        for line in (cluster.folder / f"{name}.log").read_text().splitlines()
        if "started name=" in line
    ]
    assert len(started) == 2, started
    assert context.lost not in started[-1], started
    assert not any(f"node={v} " in started[-1] for v in voters), started


@when('the operator adds "{name}" as a voter')
def add(context, name):
    """Add an instance and keep the answer."""
    body = {"action": "add", "peer": context.cluster.peer[name]}
    status, context.answer = ask(context, VOTERS, body)
    assert status == 200, context.answer


@when("the operator removes the lost identity")
def remove(context):
    """Remove the identity that was lost with its folder."""
    body = {"action": "remove", "node": context.lost}
    status, context.answer = ask(context, VOTERS, body)
    assert status == 200, context.answer


@then("the voters are said to be repaired")
def check_repaired(context):
    """Every voter answers and holds all."""
    assert context.answer["repaired"] is True, context.answer


@then("the voters are not said to be repaired")
def check_not_repaired(context):
    """A voter that is gone is still counted."""
    assert context.answer["repaired"] is False, context.answer


@then('team "{team}" is still at the version of "{change}" everywhere')
def check_kept(context, team, change):
    """Read the document at every instance that runs."""
    wanted = context.versions[change]
    for name in live(context):

        def kept(name=name):
            status, answer = ask(context, f"{DOCUMENTS}/{team}", None, name)
            return status == 200 and answer["version"] == wanted

        context.cluster.wait_until(kept, f"{team} at {name}")


@then("no change is accepted")
def check_refused(context):
    """A change finds no majority."""
    status, answer = write_team(context, "lost", "nobody")
    assert status == 503, answer
    assert answer["error"]["kind"] == "no_quorum", answer


@when('the operator forces a recovery at "{name}"')
def force(context, name):
    """Force a recovery and keep the answer."""
    cluster = context.cluster
    voters = cluster.status(name)["voters"]
    stopped = {cluster.peer[n] for n in cluster.names} - {
        cluster.peer[n] for n in live(context)
    }
    gone = [v["node"] for v in voters if v["address"] in stopped]
    body = {"action": "force", "accept_loss": True, "gone": gone}
    context.status, context.answer = ask(context, VOTERS, body, name)


@when('the operator forces a recovery at "{name}" without accepting a loss')
def force_without_word(context, name):
    """Leave out what the operator must say."""
    body = {"action": "force"}
    context.status, context.answer = ask(context, VOTERS, body, name)


@then("it is refused as nothing is to be recovered")
def check_needless(context):
    """A majority answers."""
    assert context.status == 409, context.answer
    assert "majority" in context.answer["error"]["message"], context.answer


@then("it is refused with what may be lost")
def check_asked(context):
    """The refusal names the loss."""
    assert context.status == 400, context.answer
    assert "accepted after" in context.answer["error"]["message"]


@then('"{name}" goes on alone and says what may be lost')
def check_alone(context, name):
    """One voter leads, and the answer names the loss."""
    assert context.status == 200, context.answer
    assert "accepted after" in context.answer["may_be_lost"]
    assert context.answer["kept"] > 0, context.answer

    def alone():
        status, answer = ask(context, VOTERS, None, name)
        return status == 200 and answer["repaired"]

    context.cluster.wait_until(alone, "the survivor leads")
    assert len(ask(context, VOTERS, None, name)[1]["voters"]) == 1


@when('the operator removes "{name}" as a voter')
def remove_running(context, name):
    """Remove a voter that runs."""
    body = {"action": "remove", "node": find_voter(context, name)}
    status, context.answer = ask(context, VOTERS, body)
    assert status == 200, context.answer


@when('the operator adds "{name}" as a voter again')
def add_again(context, name):
    """Try to add a voter that was removed."""
    body = {"action": "add", "peer": context.cluster.peer[name]}
    context.status, context.answer = ask(context, VOTERS, body)


@then("it is refused until the instance restarts")
def check_restart(context):
    """Its machine followed others meanwhile and lacks their claims."""
    assert context.status == 409, context.answer
    assert "restart" in context.answer["error"]["message"], context.answer


@when('"{name}" restarts')
def kill_and_start(context, name):
    """Kill an instance and start it on its folder."""
    process = context.cluster.processes[name]
    process.kill()
    process.wait()
    restart(context, name)
