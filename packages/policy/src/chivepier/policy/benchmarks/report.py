"""Tables of results."""

from chivepier.policy.benchmarks.aims import Aim
from chivepier.policy.benchmarks.measures import Group
from chivepier.policy.benchmarks.measures import Measures

COLUMNS = (
    "policy      stall50  stall99   wait99    gap99 preempt"
    "  itl50  itl95  itl99 itl99.9 goodput share"
    " refused answer99 given-up whole99 timely stops"
)


def render_table(title: str, results: list[Measures]) -> str:
    """Render one scenario: seconds, but ITL in milliseconds.

    :param title: the heading
    :param results: one line each
    :returns: lines of text
    """
    lines = [title, COLUMNS]
    for measures in results:
        share = f"{measures.share_error:5.3f}"
        stops = f"{measures.stops:5d}"
        lines.append(
            _render_group(measures.policy, measures.total, share, stops)
        )
    return "\n".join(lines)


def render_groups(measures: Measures, groups: tuple[Group, ...]) -> str:
    """Render classes or teams of one run.

    :param measures: the run
    :param groups: which of its groups
    :returns: lines of text
    """
    lines = [f"  of {measures.policy}:"]
    for group in groups:
        lines.append(_render_group(group.name, group, "    -", "    -"))
    return "\n".join(lines)


def _render_group(name: str, group: Group, share: str, stops: str) -> str:
    itl = "".join(f"{seconds * 1000:7.1f}" for seconds in group.itl)
    return (
        f"{name:12}{group.stall_p50:7.3f}{group.stall_p99:9.3f}"
        f"{group.wait_p99:9.3f}{group.gap_p99:9.3f}{group.preemptions:8d}"
        f"{itl} {group.goodput:7.0f} {share}{group.refused:8d}"
        f"{group.answer_p99:9.3f}{group.given_up:9d}{group.whole_p99:8.2f}"
        f"{group.timely:7.3f}"
        f" {stops}"
    )


def render_aims(aims: list[Aim]) -> str:
    """Render which aims are met.

    :param aims: the aims
    :returns: lines of text
    """
    return "\n".join(
        f"  {'met    ' if aim.met else 'NOT MET'} {aim.name}:"
        f" {aim.value:.3f} ({'at most' if aim.most else 'at least'}"
        f" {aim.limit})"
        for aim in aims
    )
