"""Predicted against seen quantiles of lengths."""

import attrs
import click
import numpy

from chivepier.policy.ask import Ask
from chivepier.policy.benchmarks.runner import find_scenario
from chivepier.policy.benchmarks.runner import SECONDS
from chivepier.policy.benchmarks.scenario import EVENT_SECONDS
from chivepier.policy.benchmarks.site import Site
from chivepier.policy.benchmarks.site import SITES
from chivepier.policy.benchmarks.workload import draw_calls
from chivepier.policy.lengthestimator import LengthEstimator
from chivepier.policy.lengths import Lengths

QUANTILES = (0.1, 0.5, 0.9, 0.99)
TOKEN_SECONDS = 0.02
REPORT_SECONDS = 0.25


@attrs.frozen
class Window:
    """Arrivals of one stretch of time, in seconds."""

    name: str
    start: float
    end: float


WINDOWS = (
    Window("start", 0.0, 10.0),
    Window("warm", 10.0, EVENT_SECONDS),
    Window("after the shift", EVENT_SECONDS, EVENT_SECONDS + 15.0),
    Window("later", EVENT_SECONDS + 15.0, SECONDS),
)


class FinishedOnly(LengthEstimator):
    """Learns from requests that ended only: biased to short ones."""

    def advance(self, ask: Ask, before: int, after: int) -> None:
        """Ignore what is in flight."""

    def finish(self, ask: Ask, tokens: int) -> None:
        """Count all buckets up to the end, at the end."""
        super().advance(ask, 0, tokens)
        super().finish(ask, tokens)


def compute_calibration(
    site: Site, scenario: str, seed: int, lengths: Lengths
) -> dict[str, list[float]]:
    """Feed an estimator with calls that run unhindered.

    Before each arrival the estimate is asked for its quantiles; a quantile
    is calibrated when that part of the true lengths lies at or below it.

    :param site: the deployment
    :param scenario: the scenario's name
    :param seed: decides the calls
    :param lengths: the estimator
    :returns: for each window, the part seen below each of the quantiles
    """
    chosen = find_scenario(site, scenario)
    calls = draw_calls(site, chosen, seed, SECONDS)
    below = {window.name: [] for window in WINDOWS}
    events = []
    for call in calls:
        events.append((call.at, 0, call, 0, 0))
        events += _plan_reports(call)
    events.sort(key=lambda event: (event[0], event[1], event[2].number))
    for at, kind, call, before, after in events:
        ask = _make_ask(call)
        if kind == 0:
            _ask_quantiles(lengths, ask, call, below)
        else:
            lengths.advance(ask, before, after)
            if after == call.length:
                lengths.finish(ask, after)
    return {
        name: numpy.mean(rows, axis=0).tolist() if rows else []
        for name, rows in below.items()
    }


def _ask_quantiles(lengths, ask, call, below) -> None:
    profile = lengths.profile(ask)
    row = [call.length <= profile.quantile(q) for q in QUANTILES]
    for window in WINDOWS:
        if window.start <= call.at < window.end:
            below[window.name].append(row)


def _plan_reports(call):
    step = int(REPORT_SECONDS / TOKEN_SECONDS)
    before = 0
    while before < call.length:
        after = min(call.length, before + step)
        yield call.at + after * TOKEN_SECONDS, 1, call, before, after
        before = after


def _make_ask(call) -> Ask:
    stream = call.stream
    return Ask(
        request=str(call.number),
        team=stream.team,
        template=stream.template,
        model="m",
        urgency=stream.urgency,
        max_tokens=stream.limit,
    )


def print_calibration(seed: int) -> None:
    """Print the tables of both sites.

    :param seed: decides the calls
    """
    for site in SITES.values():
        for scenario in ("steady", "shift", "heavy-tail"):
            for name, lengths in (
                ("censored", LengthEstimator()),
                ("finished only", FinishedOnly()),
            ):
                click.echo(f"== {site.name}, {scenario}, {name}")
                _print_rows(compute_calibration(site, scenario, seed, lengths))


def _print_rows(rows: dict[str, list[float]]) -> None:
    wanted = "".join(f"{q:8.2f}" for q in QUANTILES)
    click.echo(f"{'predicted':18}{wanted}")
    for name, seen in rows.items():
        click.echo(f"{name:18}" + "".join(f"{part:8.3f}" for part in seen))
