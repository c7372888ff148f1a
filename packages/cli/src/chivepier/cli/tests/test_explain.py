"""Tests of following a request through logs."""

import json

from click.testing import CliRunner

from chivepier.cli.main import main


def write(path, *events):
    """Write a log with a line that is no event."""
    lines = ["Traceback (most recent call last):"]
    lines += [json.dumps(event) for event in events]
    path.write_text("\n".join(lines) + "\n")


def test_events_of_several_processes_come_in_order(tmp_path):
    one, two = tmp_path / "one.log", tmp_path / "two.log"
    sent = {"t": 5.0, "level": "info", "node": "e1", "event": "sent"}
    lost = {"t": 6.5, "level": "warn", "node": "e1", "event": "target_lost"}
    seen = {"t": 6.0, "level": "info", "node": "e2", "event": "seen"}
    write(one, {**sent, "id": "r1"}, {**lost, "id": "r1", "target": "i1"})
    write(two, {**seen, "id": "r1"}, {**seen, "id": "r2"})
    result = CliRunner().invoke(main, ["explain", "r1", str(one), str(two)])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert [line.split()[0] for line in lines] == ["0.000", "1.000", "1.500"]
    assert "target_lost" in lines[2] and "target=i1" in lines[2]
    assert "!" in lines[2]


def test_digest_shows_each_time_that_a_request_came(tmp_path):
    # Each time a request comes it has a new id; what it did to one target
    # after another stands in lines that have the digest alone in common.
    path = tmp_path / "one.log"
    lost = {"t": 6.5, "level": "warn", "node": "e1", "event": "target_lost"}
    write(
        path,
        {**lost, "id": "r1", "digest": "d1"},
        {**lost, "id": "r2", "digest": "d1"},
        {**lost, "id": "r3", "digest": "d2"},
    )
    result = CliRunner().invoke(main, ["explain", "d1", str(path)])
    lines = result.output.splitlines()
    assert len(lines) == 2 and "id=r1" in lines[0] and "id=r2" in lines[1]


def test_request_that_no_log_names_is_told(tmp_path):
    path = tmp_path / "one.log"
    write(path)
    result = CliRunner().invoke(main, ["explain", "r1", str(path)])
    assert result.exit_code == 1 and "no line names r1" in result.output


def test_digest_of_a_part_shows_each_request_that_had_it(tmp_path):
    path = tmp_path / "one.log"
    lost = {"t": 6.5, "level": "warn", "node": "e1", "event": "target_lost"}
    write(
        path,
        {**lost, "id": "r1", "digest": "d1", "parts": ["p0", "p1"]},
        {**lost, "id": "r2", "digest": "d2", "parts": ["p1"]},
        {**lost, "id": "r3", "digest": "d3", "parts": ["p0"]},
    )
    result = CliRunner().invoke(main, ["explain", "p1", str(path)])
    assert result.exit_code == 0
    assert len(result.output.splitlines()) == 2
