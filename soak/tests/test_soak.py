"""A short seeded run of the soak, and its own checks."""

import asyncio
import os

import pytest

from soak.promises import make_body
from soak.promises import Promises
from soak.run import Soak

# Seeds and the seconds for which they inject faults. The last one stops two
# entries with nothing else wrong: what callers with kept connections had just
# sent was cut as the entry ended.
SEEDS = {1: 6.0, 2: 6.0, 3922492142: 14.0}


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_under_faults(seed, tmp_path):
    # Callers see their own whole answers, refusals that are true, and no
    # older configuration than was acknowledged, while processes are killed,
    # frozen, stopped and wiped and targets misbehave.
    block = 80 + (os.getpid() * len(SEEDS) + seed) % 100
    seen = asyncio.run(Soak(seed, tmp_path, block).run(SEEDS[seed]))
    assert seen.broken == []
    assert seen.answered > 50 and seen.acknowledged > 0


def test_each_broken_promise_is_seen():
    seen = Promises()
    seen.note_run("a")
    seen.note_run("a")
    seen.note_answer("a", 503, b"")
    seen.note_answer("b", 503, b"")
    seen.note_run("b")
    seen.note_answer("c", 200, make_body("d"))
    seen.note_answer("e", 404, b"")
    seen.note_stream("f", b"id: 1\n\nid: 3\n\ndata: end\n\n", True)
    seen.note_stream("g", b"id: 1\n\n", True)
    seen.note_read(4, 5)
    seen.note_run("h")
    seen.note_cut("h", ConnectionResetError(), planned=False)
    seen.note_cut("i", ConnectionResetError(), planned=True)
    assert len(seen.broken) == 8
    seen.note_cut("h", ConnectionResetError(), planned=True)
    assert len(seen.broken) == 9
