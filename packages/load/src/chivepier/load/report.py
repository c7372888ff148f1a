"""What a run of the load tool measured."""

import json

import attrs
from hdrh.histogram import HdrHistogram

from chivepier.load.outcome import Outcome

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
STALL_SECONDS = 0.2


def make_histogram() -> HdrHistogram:
    """Return an empty histogram in microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@attrs.define
class TeamReport:
    """One team's figures; times go into HDR histograms.

    A stall is the part of a gap between deliveries beyond
    ``STALL_SECONDS``; ``stall`` records each answer's longest gap.
    """

    requests: int = 0
    tokens: int = 0
    resumes: int = 0
    stalled: float = 0.0
    kinds: dict[str, int] = attrs.field(factory=dict)
    first_token: HdrHistogram = attrs.field(factory=make_histogram)
    gap: HdrHistogram = attrs.field(factory=make_histogram)
    stall: HdrHistogram = attrs.field(factory=make_histogram)

    def add(self, outcome: Outcome) -> None:
        """Count one outcome."""
        self.requests += 1
        self.tokens += outcome.tokens
        self.resumes += outcome.resumes
        self.kinds[outcome.kind] = self.kinds.get(outcome.kind, 0) + 1
        if outcome.first_token is not None:
            record(self.first_token, outcome.first_token)
        for gap in outcome.gaps:
            record(self.gap, gap)
            self.stalled += max(0.0, gap - STALL_SECONDS)
        if outcome.gaps:
            record(self.stall, max(outcome.gaps))

    def summarise(self) -> dict:
        """Return the figures as plain values, times in milliseconds."""
        return {
            "requests": self.requests,
            "tokens": self.tokens,
            "resumes": self.resumes,
            "stall_time_s": round(self.stalled, 3),
            "kinds": self.kinds,
            "first_token_ms": percentiles(self.first_token),
            "itl_ms": percentiles(self.gap),
            "longest_gap_ms": percentiles(self.stall),
        }


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Record a time.

    :param histogram: in microseconds
    :param seconds: the time
    """
    histogram.record_value(max(LOWEST_US, round(seconds * MICROSECONDS)))


def percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return p50, p95, p99 and p99.9 in milliseconds."""
    wanted = (50, 95, 99, 99.9)
    return {
        f"p{p}": round(histogram.get_value_at_percentile(p) / 1000, 2)
        for p in wanted
    }


class Report:
    """Figures by team, and all broken answers."""

    def __init__(self) -> None:
        self.teams: dict[str, TeamReport] = {}
        self.problems: list[str] = []

    def add(self, outcome: Outcome) -> None:
        """Count one outcome."""
        team = self.teams.setdefault(outcome.team, TeamReport())
        team.add(outcome)
        if outcome.kind == "broken":
            self.problems += outcome.problems

    def render_json(self) -> str:
        """Return the report as JSON."""
        teams = {n: t.summarise() for n, t in sorted(self.teams.items())}
        plain = {"teams": teams, "problems": self.problems}
        return json.dumps(plain, indent=2)

    def render_table(self) -> str:
        """Return the report as a table."""
        head = (
            f"{'team':<14}{'requests':>9}{'ok':>6}{'tokens':>8}"
            f"{'resumes':>8}{'stall s':>9}{'first p99':>11}"
            f"{'itl p50':>9}{'itl p99':>9}"
        )
        rows = [head]
        for name, team in sorted(self.teams.items()):
            first = percentiles(team.first_token)["p99"]
            gaps = percentiles(team.gap)
            rows.append(
                f"{name:<14}{team.requests:>9}{team.kinds.get('ok', 0):>6}"
                f"{team.tokens:>8}{team.resumes:>8}{team.stalled:>9.2f}"
                f"{first:>9.1f}ms{gaps['p50']:>7.1f}ms{gaps['p99']:>7.1f}ms"
            )
            others = {k: n for k, n in team.kinds.items() if k != "ok"}
            if others:
                rows.append(f"  not ok: {others}")
        rows.append(f"broken answers: {len(self.problems)}")
        return "\n".join(rows)
