"""Arrivals drawn with a fixed seed, the same for every policy."""

import itertools
import math
import random

from chivepier.policy.benchmarks.call import Call
from chivepier.policy.benchmarks.prefixcache import PREFIX_TOKENS
from chivepier.policy.benchmarks.site import Site
from chivepier.types import hash_text

CYCLE_SECONDS = 40.0
SWING = 0.2


def draw_calls(site: Site, scenario, seed: int, duration: float) -> list[Call]:
    """Draw all calls of a scenario, in order of arrival.

    The load swings by a fifth around its mean, so that a mean near the
    capacity is above it at times.

    :param site: the deployment
    :param scenario: rates and lengths over time
    :param seed: decides every draw
    :param duration: seconds
    :returns: the calls
    """
    found = []
    for stream in site.streams:
        key = f"{seed}/{stream.team}/{stream.template}/{stream.urgency}"
        rng = random.Random(hash_text(key))
        found += _draw_stream(site, scenario, stream, rng, duration)
    found.sort(key=lambda call: (call.at, call.stream.team))
    for number, call in enumerate(found):
        call.number = number
    return found


def _draw_stream(site, scenario, stream, rng, duration):
    peak = stream.rate * (1 + SWING) * scenario.peak(stream)
    documents: list[tuple[int, int]] = []
    names = itertools.count()
    now = 0.0
    while True:
        now += rng.expovariate(peak)
        if now > duration:
            return
        swing = 1 + SWING * math.sin(2 * math.pi * now / CYCLE_SECONDS)
        rate = stream.rate * swing * scenario.factor(stream, now)
        kept = rng.random() * peak < rate
        call = _draw_call(site, scenario, stream, rng, now, documents, names)
        if kept:
            yield call


def _draw_call(site, scenario, stream, rng, now, documents, names):
    if not documents or rng.random() < 1 / stream.turns:
        size = int(stream.shared * rng.lognormvariate(-0.08, 0.4))
        documents.append((next(names), size))
        del documents[:-8]
    name, size = rng.choice(documents)
    median, sigma = scenario.lengths(stream, now)
    length = int(median * rng.lognormvariate(0.0, sigma))
    own = 1 + int(stream.own * rng.lognormvariate(-0.08, 0.4))
    blocks = size // PREFIX_TOKENS
    key = f"{stream.team}/{stream.template}/{name}"
    return Call(
        number=0,
        at=now,
        stream=stream,
        zone=rng.choice(site.zones),
        prompt=size + own,
        length=max(1, min(stream.limit, length)),
        chain=tuple(hash_text(f"{key}/{i}") for i in range(blocks)),
    )
