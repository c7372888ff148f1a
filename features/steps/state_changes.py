"""Steps of changes across failures."""

import concurrent.futures
import signal

from behave import given
from behave import then
from behave import when
from state_calls import ask
from state_calls import live
from state_calls import VOTERS
from state_calls import write_team

DAMAGED_EXIT = 3
HALF_RECORD = b"\x40\x00\x00\x00\x01\x02"


@given('{count:d} changes of team "{team}"')
def write_often(context, count, team):
    """Change one document again and again."""
    base = 0
    for number in range(count):
        status, answer = write_team(context, f"n{number}", team, base)
        assert status == 200, answer
        base = answer["version"]
    context.versions = {"last": base}


def kill(context, name):
    """Kill one instance."""
    process = context.cluster.processes[name]
    process.kill()
    process.wait()


@when("the leading instance dies")
def kill_leader(context):
    """Kill whichever instance leads."""
    cluster = context.cluster
    leader = cluster.status(cluster.names[0])["leader"]
    (name,) = [n for n in cluster.names if cluster.peer[n] == leader]
    kill(context, name)


@when("all instances die at once")
def kill_all(context):
    """Kill all at once."""
    for name in live(context):
        context.cluster.processes[name].kill()
    for process in context.cluster.processes.values():
        process.wait()


@when("all instances start again")
def start_all(context):
    """Start all and wait until they take work."""
    cluster = context.cluster
    for name in cluster.names:
        cluster.start_node(name)
    for name in cluster.names:
        cluster.wait_until(
            lambda: cluster.is_up(name, "/readyz"), f"{name} ready"
        )


@when("all instances die at once and start again")
def restart_all(context):
    """Kill all, then start all."""
    kill_all(context)
    start_all(context)


@then('the resent change "{change}" of team "{team}" gets its first answer')
def resend(context, change, team):
    """Send a change once more, at every instance that runs."""
    for name in live(context):
        status, answer = write_team(context, change, team, name=name)
        assert status == 200, answer
        assert answer["version"] == context.versions[change], answer


@when('operators "{a}" and "{b}" change team "{team}" at the same version')
def race(context, a, b, team):
    """Submit two changes at once, at different instances."""
    base = context.versions["c1"]
    names = live(context)
    with concurrent.futures.ThreadPoolExecutor() as pool:
        tasks = {
            operator: pool.submit(
                write_team, context, f"by-{operator}", team, base, operator, n
            )
            for operator, n in zip((a, b), names)
        }
    context.race = {name: task.result() for name, task in tasks.items()}


@then("one of them is accepted and the other is told who won")
def check_race(context):
    """The loser's message names change, operator and version."""
    won = {n: a for n, (status, a) in context.race.items() if status == 200}
    lost = {n: a for n, (status, a) in context.race.items() if status == 409}
    assert len(won) == len(lost) == 1, context.race
    (winner, answer), (loss,) = *won.items(), lost.values()
    message = loss["error"]["message"]
    for part in (f"'by-{winner}'", f"'{winner}'", str(answer["version"])):
        assert part in message, message


@when('the log of "{name}" ends in half a record')
def tear(context, name):
    """Leave what a crash leaves of a write."""
    with open(context.cluster.folder / name / "log", "ab") as log:
        log.write(HALF_RECORD)


@when('a byte before the tail of "{name}"\'s log is damaged')
def damage(context, name):
    """Change one byte of the first record after the file's base."""
    kill(context, name)
    path = context.cluster.folder / name / "log"
    data = bytearray(path.read_bytes())
    data[40] ^= 0xFF
    path.write_bytes(data)


@then('"{name}" ends with exit code 3 and one line naming the log')
def check_damaged(context, name):
    """Start it and read why it ended."""
    cluster = context.cluster
    path = cluster.folder / f"{name}.log"
    before = path.stat().st_size
    cluster.start_node(name)
    assert cluster.processes[name].wait(timeout=30) == DAMAGED_EXIT
    text = path.read_text()[before:]
    said = [line for line in text.splitlines() if "INFO" not in line]
    assert len(said) == 1 and "log: bad record" in said[0], text
    assert ask(context, VOTERS)[0] == 200


def signal_others(context, number):
    """Send a signal to every instance without a disk."""
    cluster = context.cluster
    for name in cluster.names:
        if name not in cluster.disks:
            cluster.processes[name].send_signal(number)


@when("the instances without disks are frozen")
def freeze(context):
    """Stop the processes without ending them."""
    signal_others(context, signal.SIGSTOP)


@when("the instances without disks go on")
def thaw(context):
    """Let the processes go on, and wait until they take work."""
    signal_others(context, signal.SIGCONT)
    cluster = context.cluster
    for name in cluster.names:
        cluster.wait_until(
            lambda: cluster.is_up(name, "/readyz"), f"{name} ready"
        )


@then('change "{change}" of team "{team}" is durable but not in force')
def check_not_in_force(context, change, team):
    """The answer says that it ran, and at which version."""
    status, answer = write_team(context, change, team)
    error = answer["error"]
    assert status == 504 and error["kind"] == "not_in_force", answer
    assert error["ran"] == "yes", answer
    version = int(error["message"].split()[1])
    context.versions = {change: version}
