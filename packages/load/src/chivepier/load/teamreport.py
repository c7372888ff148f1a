"""One team's figures."""

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
