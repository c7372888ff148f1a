"""Tests of scarce room: requests take twice the memory there is."""

import asyncio
import collections
import random

import attrs

from chivepier.gateway.config import Team
from chivepier.gateway.serving import Prompt
from chivepier.gateway.serving.tests.parts import ENGINE
from chivepier.gateway.serving.tests.parts import make_request
from chivepier.gateway.serving.tests.parts import make_route
from chivepier.gateway.serving.tests.parts import Parts
from chivepier.standins.loopclock import tell_time
from chivepier.standins.playedloop import play_time
from chivepier.types import RequestError

SMALL = attrs.evolve(ENGINE, memory_tokens=26_900, reserve_seconds=2.0)
SHORT = make_route(name="v", prefix="/v/", urgency=0, objective=1.5)
LONG = make_route(name="l", prefix="/l/", urgency=2, objective=3.0)


class Rush:
    """Load on three targets; waits are kept by path and key."""

    def __init__(self) -> None:
        self.parts = Parts("t0", "t1", "t2", engine=SMALL)
        teams = tuple(
            Team(name=f"t{number}", keys=(f"k{number}",))
            for number in range(5)
        )
        self.parts.configure(
            SMALL, version=2, routes=(SHORT, LONG), teams=teams
        )
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: dict[str, list[float]] = collections.defaultdict(list)
        self._rng = random.Random(4)
        self._send_to_engine = self.parts.engines.send
        self.parts.engines.send = self._run

    async def send(
        self, path: str, key: str, rate: float, start: float, end: float
    ) -> None:
        """Send requests of one route and team between two times.

        :param rate: requests per second
        """
        async with asyncio.TaskGroup() as group:
            until = tell_time() + end
            await asyncio.sleep(start)
            while tell_time() < until:
                group.create_task(self._serve(path, key))
                await asyncio.sleep(self._rng.expovariate(rate))

    async def _serve(self, path: str, key: str) -> None:
        arrived = tell_time()
        prompt = Prompt(tokens=3_000, max_output=750)
        if path == "/v/":
            prompt = Prompt(tokens=2_200, max_output=10)
        request = make_request(path + key, key=key, prompt=prompt)
        try:
            await self.parts.serve(request)
        except RequestError:
            self.refused[path + key].append(tell_time() - arrived)

    async def _run(self, target, request, *options):
        """Answer at once, and hold the room for as long as it takes."""
        self.waits[request.path].append(tell_time() - request.arrived)
        answer = await self._send_to_engine(target, request, *options)
        answer.make()
        seconds = 0.5 if request.path.startswith("/v/") else 8.0
        asyncio.get_running_loop().call_later(seconds, answer.end)
        return answer


def play(*streams: tuple) -> Rush:
    """Play streams of requests; see :meth:`Rush.send`."""

    async def work() -> Rush:
        rush = Rush()
        await asyncio.gather(*(rush.send(*stream) for stream in streams))
        return rush

    return play_time(work())


def test_rush_of_long_streams_leaves_short_requests_in_time():
    """Long streams filled all memory, and urgent short ones waited."""
    rush = play(
        ("/v/", "k0", 2.5, 0.0, 40.0),
        ("/l/", "k0", 1.0, 0.0, 40.0),
        ("/l/", "k0", 5.0, 10.0, 40.0),
    )
    assert max(rush.waits["/v/k0"]) <= SHORT.objective
    assert len(rush.waits["/v/k0"]) > 80 and not rush.refused["/v/k0"]
    # the long ones still have what the short ones don't need
    assert len(rush.waits["/l/k0"]) > 80
    assert max(rush.refused["/l/k0"]) <= 3.1 * LONG.objective


def test_rush_of_one_team_leaves_the_others_in_time():
    """Ten times one team's load passed before the others' requests."""
    steady = [("/l/", f"k{number}", 0.4, 0.0, 40.0) for number in range(1, 5)]
    rush = play(*steady, ("/l/", "k0", 4.0, 10.0, 40.0))
    others = [f"/l/k{number}" for number in range(1, 5)]
    waits = [wait for path in others for wait in rush.waits[path]]
    late = [wait for wait in waits if wait > LONG.objective]
    assert len(waits) > 60 and len(late) <= len(waits) / 10
    assert sum(len(rush.refused[path]) for path in others) <= 2
    # it is lent what the others leave
    assert len(rush.waits["/l/k0"]) > 40
