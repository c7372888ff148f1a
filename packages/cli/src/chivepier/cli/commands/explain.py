"""The explain command."""

import json
import typing

import click

# Fields that stand in front of each line, and so not among the others.
HEAD = ("t", "level", "node", "event")


@click.command()
@click.argument("request_id")
@click.argument(
    "logs", nargs=-1, required=True, type=click.File("r", errors="replace")
)
def explain(request_id: str, logs: tuple[typing.TextIO, ...]) -> None:
    """Show one request's way through the logs of several processes.

    REQUEST_ID is what the caller sent, or the digest that a line about it
    shows: that of every time it came, under whatever id, or that of a part
    which its prompt shares with others. LOGS are files with
    what the processes wrote; lines that are no events are passed over.

    \b
    Example: chivepier explain 9c41d07be2a35f68 front-*.log
    """
    events = find_events(request_id, logs)
    if not events:
        raise click.ClickException(f"no line names {request_id}")
    start = events[0]["t"]
    for event in events:
        click.echo(render_event(event, start))


def find_events(
    request_id: str, logs: typing.Iterable[typing.Iterable[str]]
) -> list[dict]:
    """Pick a request's events, in the order of their times.

    :param request_id: the caller's, or a digest of a request or a part
    :param logs: lines of each log
    :returns: the events
    """
    events = []
    for log in logs:
        for line in log:
            if request_id not in line:
                continue
            event = read_event(line)
            if event is None:
                continue
            if request_id in name_subjects(event):
                events.append(event)
    return sorted(events, key=lambda event: event["t"])


def name_subjects(event: dict) -> list[str]:
    """Return the ids and digests of what an event is about.

    >>> name_subjects({"id": "r", "digest": "d", "parts": ["p"]})
    ['r', 'd', 'p']
    """
    subjects = [event.get("id"), event.get("digest")]
    subjects += event.get("parts") or []
    return [subject for subject in subjects if isinstance(subject, str)]


def read_event(line: str) -> dict | None:
    """Read one line, whatever stands before its event.

    >>> read_event('12:00 {"t": 1, "event": "x", "id": "r"}')["event"]
    'x'
    >>> read_event("no event")

    :param line: of a log
    :returns: the event, if the line holds one
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(event, dict) or "t" not in event:
        return None
    return event


def render_event(event: dict, start: float) -> str:
    """Write an event as one line.

    :param event: as logged
    :param start: time of the first one
    :returns: the seconds since then, node, event and fields
    """
    fields = " ".join(
        f"{name}={value}" for name, value in event.items() if name not in HEAD
    )
    mark = "!" if event.get("level") == "warn" else " "
    passed = event["t"] - start
    node, name = event.get("node", "?"), event.get("event", "?")
    return f"{passed:9.3f} {mark} {node:16} {name:18} {fields}".rstrip()
