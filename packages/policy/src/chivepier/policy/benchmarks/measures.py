"""What one run measured."""

import attrs
import numpy

from chivepier.policy.benchmarks.bench import Bench
from chivepier.policy.benchmarks.bench import SHARE_SECONDS
from chivepier.policy.benchmarks.fairness import compute_share_error
from chivepier.policy.benchmarks.scenario import EVENT_SECONDS
from chivepier.policy.benchmarks.scenario import WARM_SECONDS
from chivepier.policy.pace import TARGET_INTERVAL
from chivepier.types import Urgency

PACE_SECONDS = 0.02
SPARE_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class Group:
    """Measures of one team, one class, or all; times in seconds.

    ``wait`` runs from an attempt to its first token; ``gap`` adds up, for a
    stream, the times over 0.25 s without a token, and from the last token
    of a stream that was lost or stopped to the first of its next attempt;
    ``stall`` is wait and gap together; ``whole`` is the wait from the first
    attempt on, refusals included, of calls that finished.  ``timely`` is
    the part of all calls whose whole answer came within 10 s, and the
    target interval for each token, of the first attempt: whatever they
    waited for, refusals and pauses between attempts included.  ``itl``
    holds p50, p95, p99 and p99.9.  ``answer`` is the time to the final
    answer of refused attempts.
    """

    name: str
    calls: int
    finished: int
    refused: int
    given_up: int
    preemptions: int
    goodput: float
    stall_p50: float
    stall_p99: float
    wait_p99: float
    gap_p99: float
    whole_p99: float
    timely: float
    answer_p99: float
    itl: tuple[float, float, float, float]


@attrs.frozen(kw_only=True)
class Measures:
    """All groups of a run, and what concerns the whole.

    ``victims`` are all teams but the surging one, together, and ``others``
    the same one by one, both from the event on.
    """

    policy: str
    total: Group
    classes: tuple[Group, ...]
    teams: tuple[Group, ...]
    victims: Group
    others: tuple[Group, ...]
    share_error: float
    stops: int


def measure_run(policy: str, bench: Bench) -> Measures:
    """Take the measures of a finished run.

    Calls count from the end of the warm-up on.

    :param policy: its name in the table
    :param bench: the run
    :returns: the measures
    """
    streams = bench.site.streams
    teams = [s.team for s in streams]
    surging = bench.site.surging
    return Measures(
        policy=policy,
        total=_group("all", bench, lambda t, u: True),
        classes=tuple(
            _group(u.name.lower(), bench, lambda t, v, u=u: v == u)
            for u in Urgency
        ),
        teams=tuple(
            _group(team, bench, lambda t, u, team=team: t == team)
            for team in teams
        ),
        victims=_group(
            "others",
            bench,
            lambda t, u: t != surging,
            EVENT_SECONDS,
        ),
        others=tuple(
            _group(
                team,
                bench,
                lambda t, u, team=team: t == team,
                EVENT_SECONDS,
            )
            for team in teams
            if team != surging
        ),
        share_error=_share_error(bench),
        stops=bench.stops,
    )


def _group(name, bench, chosen, since=WARM_SECONDS) -> Group:
    calls = [
        call
        for call in bench.calls
        if call.at >= since and chosen(call.stream.team, call.stream.urgency)
    ]
    _end_waits(bench, calls)
    waits = [wait for call in calls for wait in call.waits]
    stalls = [sum(call.waits) + call.stalled for call in calls if call.waits]
    done = [call for call in calls if call.finished is not None]
    whole = [call.first - call.at for call in done]
    tokens = sum(call.length for call in done)
    itl = _join(bench.gaps, chosen)
    return Group(
        name=name,
        calls=len(calls),
        finished=len(done),
        refused=sum(len(call.answered) for call in calls),
        given_up=sum(call.given_up for call in calls),
        preemptions=_preemptions(bench, chosen),
        goodput=tokens / (bench.duration - since),
        stall_p50=_percentile(stalls, 50),
        stall_p99=_percentile(stalls, 99),
        wait_p99=_percentile(waits, 99),
        gap_p99=_percentile([c.stalled for c in calls if c.waits], 99),
        whole_p99=_percentile(whole, 99),
        timely=_count_timely(calls, bench.duration),
        answer_p99=_percentile([a for c in calls for a in c.answered], 99),
        itl=tuple(_percentile(itl, q) for q in (50, 95, 99, 99.9)),
    )


def _count_timely(calls, duration: float) -> float:
    due = [call for call in calls if _due(call) <= duration]
    timely = [
        call
        for call in due
        if call.finished is not None and call.finished <= _due(call)
    ]
    return len(timely) / max(1, len(due))


def _due(call) -> float:
    return call.at + SPARE_SECONDS + call.length * TARGET_INTERVAL


def _end_waits(bench: Bench, calls) -> None:
    # a stream that never began by the end has waited at least until then
    if bench.closed:
        return
    bench.closed = True
    live = {bench.attempts[s.ask.request]: s for s in bench.running.values()}
    for call in bench.calls:
        if call.finished is not None or call.given_up or not call.attempts:
            continue
        sequence = live.get(call)
        if sequence is not None and sequence.first is not None:
            call.waits.append(sequence.first - call.attempted)
            call.stalled += sequence.stalled
        elif sequence is not None or call not in bench.away:
            call.waits.append(bench.duration - call.attempted)


def _join(gaps, chosen) -> numpy.ndarray:
    found = [
        numpy.frombuffer(values, dtype=float)
        for (team, urgency), values in sorted(gaps.items())
        if chosen(team, urgency) and len(values)
    ]
    return numpy.concatenate(found) if found else numpy.zeros(0)


def _preemptions(bench: Bench, chosen) -> int:
    return sum(
        count
        for engine in bench.engines.values()
        for (team, urgency), count in engine.preempted_by.items()
        if chosen(team, urgency)
    )


def _percentile(values, q: float) -> float:
    return float(numpy.percentile(values, q)) if len(values) else 0.0


def _share_error(bench: Bench) -> float:
    served = bench.count_served()
    got = {team: served[team] - bench.marked.get(team, 0) for team in served}
    wanted: dict[str, float] = {}
    weights: dict[str, float] = {}
    for stream in bench.site.streams:
        weights[stream.team] = stream.weight
        wanted.setdefault(stream.team, 0.0)
    for call in bench.calls:
        # what the call would be given in the window if it never waited
        start = max(call.at, SHARE_SECONDS)
        end = min(call.at + call.length * PACE_SECONDS, bench.duration)
        if end > start:
            wanted[call.stream.team] += (end - start) / PACE_SECONDS
    return compute_share_error(got, wanted, weights)
