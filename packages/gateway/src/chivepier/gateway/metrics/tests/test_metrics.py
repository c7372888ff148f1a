"""Tests of delayed loading and of bounded label sets."""

from chivepier.gateway.metrics import Metrics
from chivepier.gateway.metrics.metrics import MAX_BUFFERED_OBSERVATIONS
from chivepier.gateway.metrics.metrics import MAX_TEAMS


def test_observations_before_loading_are_counted():
    metrics = Metrics()
    metrics.record_request("t1", "2", "answered", 0.05)
    metrics.record_stream("t1", "2", 0.5, 0.1)
    metrics.record_move("copied")
    metrics.record_room_kept("2")
    metrics.record_refused_early("2")
    metrics.record_team_wait("2")
    metrics.record_room_wait("2", "real", 0.5)
    metrics.set_place_waiting("s", "2", 1)
    metrics.record_place_wait("s", "2", "free", 0.05)
    metrics.load()
    metrics.record_request("t1", "2", "no_target", 0.05)
    text = metrics.render().decode()
    answered = 'class="2",outcome="answered",team="t1"} 1.0'
    assert "chivepier_requests_total{" + answered in text
    assert 'outcome="no_target",team="t1"} 1.0' in text
    assert 'chivepier_memory_copies_total{outcome="copied"} 1.0' in text
    assert 'chivepier_place_waiting{class="2",service="s"} 1.0' in text
    assert "chivepier_place_wait_seconds_bucket" in text
    assert "chivepier_longest_pause_seconds_bucket" in text
    for name in ("room_kept", "refused_early", "team_waits"):
        assert f'chivepier_{name}_total{{class="2"}} 1.0' in text
    assert 'room_wait_seconds_count{class="2",kind="real"} 1.0' in text


def test_teams_beyond_the_maximum_share_one_series():
    # Guards against a scrape that grows with each team name ever seen.
    metrics = Metrics()
    metrics.load()
    for number in range(MAX_TEAMS + 50):
        metrics.record_request(f"t{number}", "1", "answered", 0.1)
    text = metrics.render().decode()
    assert 'outcome="answered",team="other"} 50.0' in text
    assert f'team="t{MAX_TEAMS + 1}"' not in text


def test_buffered_observations_are_bounded():
    metrics = Metrics()
    for _ in range(MAX_BUFFERED_OBSERVATIONS + 7):
        metrics.record_move("copied")
    text = metrics.render().decode()
    assert "chivepier_observations_dropped_total 7.0" in text
