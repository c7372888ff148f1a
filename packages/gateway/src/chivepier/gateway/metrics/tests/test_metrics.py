"""Tests of the metrics: late loading, and bounded label sets."""

from chivepier.gateway.metrics import Metrics
from chivepier.gateway.metrics.metrics import MOST_EARLY
from chivepier.gateway.metrics.metrics import MOST_TEAMS


def test_what_came_before_loading_is_counted():
    metrics = Metrics()
    metrics.note_request("t1", "2", "answered", 0.05)
    metrics.note_stream("t1", "2", 0.5, 0.1)
    metrics.note_move("copied")
    metrics.load()
    metrics.note_request("t1", "2", "no_target", 0.05)
    text = metrics.render().decode()
    answered = 'class="2",outcome="answered",team="t1"} 1.0'
    assert "chivepier_requests_total{" + answered in text
    assert 'outcome="no_target",team="t1"} 1.0' in text
    assert 'chivepier_memory_copies_total{outcome="copied"} 1.0' in text
    assert "chivepier_longest_pause_seconds_bucket" in text


def test_teams_beyond_the_bound_share_one_series():
    # A scrape grew with every name that a caller's team had ever had.
    metrics = Metrics()
    metrics.load()
    for number in range(MOST_TEAMS + 50):
        metrics.note_request(f"t{number}", "1", "answered", 0.1)
    text = metrics.render().decode()
    assert 'outcome="answered",team="other"} 50.0' in text
    assert f'team="t{MOST_TEAMS + 1}"' not in text


def test_what_waits_for_loading_is_bounded():
    metrics = Metrics()
    for _ in range(MOST_EARLY + 7):
        metrics.note_move("copied")
    text = metrics.render().decode()
    assert "chivepier_observations_dropped_total 7.0" in text
