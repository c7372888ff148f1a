"""Tests of scarce room: long streams take twice the memory there is."""

import asyncio
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
    """Steady short requests, and long streams at twice the capacity."""

    def __init__(self) -> None:
        names = [f"t{number}" for number in range(3)]
        self.parts = Parts(*names, engine=SMALL)
        team = Team(name="t1", keys=("k1",))
        self.parts.configure(
            SMALL, version=2, routes=(SHORT, LONG), teams=(team,)
        )
        self.waits = {"/v/": [], "/l/": []}
        self.refused: list[float] = []
        self._rng = random.Random(4)
        self._send_to_engine = self.parts.engines.send
        self.parts.engines.send = self._run

    async def play(self) -> None:
        """Play 30 s of twice the capacity, after steady load."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send(group, "/v/", 2_200, 2.5, 40.0))
            group.create_task(self._send(group, "/l/", 3_000, 1.0, 10.0))
            await asyncio.sleep(10.0)
            await self._send(group, "/l/", 3_000, 5.0, 30.0)

    async def _send(self, group, path, tokens, rate, seconds) -> None:
        until = tell_time() + seconds
        while tell_time() < until:
            await asyncio.sleep(self._rng.expovariate(rate))
            group.create_task(self._serve(path, tokens))

    async def _serve(self, path: str, tokens: int) -> None:
        arrived = tell_time()
        output = 10 if path == "/v/" else 750
        prompt = Prompt(tokens=tokens, max_output=output)
        try:
            await self.parts.serve(make_request(path + "x", prompt=prompt))
        except RequestError:
            self.refused.append(tell_time() - arrived)

    async def _run(self, target, request, *options):
        """Answer at once, and hold the room for as long as it takes."""
        self.waits[request.path[:3]].append(tell_time() - request.arrived)
        answer = await self._send_to_engine(target, request, *options)
        answer.make()
        seconds = 0.5 if request.path == "/v/x" else 8.0
        asyncio.get_running_loop().call_later(seconds, answer.end)
        return answer


def test_rush_of_long_streams_leaves_short_requests_in_time():
    """Long streams filled all memory, and urgent short ones waited."""

    async def play() -> Rush:
        rush = Rush()
        await rush.play()
        return rush

    rush = play_time(play())
    assert max(rush.waits["/v/"]) <= SHORT.objective
    assert len(rush.waits["/v/"]) > 80
    assert len(rush.waits["/l/"]) > 80
    assert max(rush.refused) <= 3.1 * LONG.objective
