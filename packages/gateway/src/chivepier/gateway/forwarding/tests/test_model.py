"""A drawn model of entries, their links to targets, and entries that die."""

import asyncio
import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from chivepier.gateway.forwarding.tests.peersite import play_site
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import wait_until
from chivepier.types import Ran
from chivepier.types import RequestError

TARGETS = ("x", "y")
KINDS = ("plain", "read")
ENTRIES = st.integers(2, 4)
LINKS = st.lists(
    st.tuples(*(st.booleans() for _ in TARGETS)), min_size=4, max_size=4
)
REQUESTS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(KINDS)),
    min_size=1,
    max_size=6,
)


def observe(site) -> collections.Counter:
    """Let targets answer with the id of the request, and count runs by id."""
    runs: collections.Counter = collections.Counter()

    def record(entry):
        send = entry.parts.engines.send

        async def send_and_end(target, request, *args):
            run = await send(target, request, *args)
            runs[request.id] += 1
            run._queue.put_nowait(request.id.encode())
            run.end()
            return run

        entry.parts.engines.send = send_and_end

    for entry in site.entries:
        record(entry)
    return runs


def cut_links(site, links) -> list[bool]:
    """Cut the links of each entry; return which entries reach a target."""
    for entry, reached in zip(site.entries, links):
        lost = [f"w-{t}" for t, ok in zip(TARGETS, reached) if not ok]
        entry.cut(*lost)
    return [any(reached) for reached in links[: len(site.entries)]]


@settings(max_examples=60, deadline=None)
@given(ENTRIES, LINKS, REQUESTS, st.booleans())
def test_request_is_served_wherever_one_step_leads_to_a_target(
    count, links, requests, is_told
):
    async def test(site):
        runs = observe(site)
        reaching = cut_links(site, links)
        if is_told:
            site.introduce()
        for number, (index, kind) in enumerate(requests):
            entry = site.entries[index % count]
            name = f"r{number}"
            request = make_request(f"/{kind}/a", id=name)
            try:
                caller = await entry.parts.serve(request)
            except RequestError as error:
                assert not any(reaching)
                assert error.failure.ran is Ran.NO and not runs[name]
                continue
            assert caller.data == name.encode() and caller.finished
            assert runs[name] == 1

    play_site(test, count, TARGETS)


@settings(max_examples=40, deadline=None)
@given(ENTRIES, LINKS, REQUESTS, st.integers(0, 3), st.floats(0.0, 0.4))
def test_nothing_runs_twice_while_entries_die(
    count, links, requests, dying, seconds
):
    async def test(site):
        runs = observe(site)
        cut_links(site, links)
        for entry in site.entries:
            entry.parts.engines.heads.clear()
        dead = site.entries[dying % count]
        names = {}

        async def serve(number, index, kind):
            entry = site.entries[index % count]
            if entry is dead:
                return
            request = make_request(f"/{kind}/a", id=f"r{number}")
            names[request.id] = kind
            try:
                caller = await entry.parts.serve(request)
            except RequestError as error:
                if error.failure.ran is Ran.NO:
                    assert not runs[request.id]
                return
            assert caller.data == request.id.encode()

        tasks = [
            asyncio.create_task(serve(number, *drawn))
            for number, drawn in enumerate(requests)
        ]
        await asyncio.sleep(seconds)
        await dead.die()
        for entry in site.entries:
            entry.parts.engines.heads.set()
        await wait_until(lambda: all(task.done() for task in tasks))
        await asyncio.gather(*tasks)
        for name, kind in names.items():
            assert runs[name] <= (1 if kind == "plain" else 2)

    play_site(test, count, TARGETS)
