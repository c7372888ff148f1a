"""Fetching the newest configuration from the voters."""

import asyncio
import collections
import collections.abc

from chivepier.gateway.config import Configuration
from chivepier.gateway.config import RouteIndex
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import ConfigAnswer
from chivepier.gateway.messages import ConfigRequest
from chivepier.gateway.serving import ServingState
from chivepier.types import Clock
from chivepier.wire import LinkError
from chivepier.wire import Links

# Seconds to wait for one voter, and those after which the next one that
# announced a newer configuration is queried beside it. Changes must take
# effect within about two seconds.
ANSWER_SECONDS = 0.8
PATIENCE_SECONDS = 0.4
# Longest of these waits as a multiple: they double each time that all voters
# have failed, as a line may be thin, and answers share it.
MAX_WAIT_FACTOR = 4
# Minimum seconds between two fetches, and the maximum: the time that an
# adoption took may be that of a process that stood still.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5
# Pause after applying a configuration, as a multiple of the time it took;
# bounds the share of time that an entry spends on configurations.
PAUSE_FACTOR = 5

Decode = collections.abc.Callable[[bytes], Configuration]


class ConfigFetcher:
    """Fetches the newest configuration, one fetch at a time.

    Voters announce the version only: pushing whole configurations from every
    voter would fill the links needed for callers' answers. Versions that are
    superseded during a fetch are never fetched.

    :param links: links to the voters
    :param decode: decodes a serialized configuration
    :param state: receives each newer configuration
    :param clock: source of monotonic time
    :param log: event log of this process
    """

    def __init__(
        self,
        links: Links,
        decode: Decode,
        state: ServingState,
        clock: Clock,
        log: EventLog,
    ):
        self._links = links
        self._decode = decode
        self._state = state
        self._clock = clock
        self._log = log
        self._announced: dict[str, int] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._newest_told = -1
        self._version_announced = asyncio.Event()

    def record_version(self, address: str, version: int) -> None:
        """Record the configuration version that a voter has.

        :param address: address of the voter
        :param version: version of its configuration; -1 if it has none
        """
        current = self._find_current_version()
        if version > current:
            if version > self._newest_told:
                self._newest_told = version
                self._log.info(
                    "configuration_told",
                    peer=address,
                    version=version,
                    held=current,
                )
            self._announced[address] = version
            self._version_announced.set()

    def forget(self, address: str) -> None:
        """Drop what a voter announced that is none any more."""
        self._announced.pop(address, None)

    def _find_current_version(self) -> int:
        index = self._state.index
        return index.version if index is not None else -1

    async def run(self) -> None:
        """Fetch newer configurations until cancelled."""
        while True:
            await self._version_announced.wait()
            self._version_announced.clear()
            while self._list_holders():
                answer = await self._fetch()
                started_at = self._clock.monotonic()
                if answer is not None:
                    self._adopt(answer)
                duration = self._clock.monotonic() - started_at
                pause = max(MIN_PAUSE_SECONDS, PAUSE_FACTOR * duration)
                await self._clock.sleep(min(MAX_PAUSE_SECONDS, pause))

    def _list_holders(self) -> list[str]:
        """Return who has a newer version; who failed to send it comes last."""
        current = self._find_current_version()
        newer = {a: v for a, v in self._announced.items() if v > current}
        self._announced = newer
        if not newer:
            self._failures.clear()
        return sorted(newer, key=lambda a: (self._failures[a], -newer[a]))

    async def _fetch(self) -> ConfigAnswer | None:
        """Query one holder after the other until one answers."""
        asking: set[asyncio.Task] = set()
        holders = self._list_holders()
        rounds = min(self._failures[address] for address in holders)
        factor = min(MAX_WAIT_FACTOR, 2**rounds)
        try:
            for address in holders:
                work = self._ask(address, factor * ANSWER_SECONDS)
                asking.add(asyncio.create_task(work))
                answer = await self._await_answer(
                    asking, factor * PATIENCE_SECONDS
                )
                if answer is not None:
                    return answer
            return await self._await_answer(asking, factor * ANSWER_SECONDS)
        finally:
            for task in asking:
                task.cancel()

    async def _await_answer(
        self, asking: set[asyncio.Task], seconds: float
    ) -> ConfigAnswer | None:
        """Return the first answer; none if all fail or the time is over."""
        timer = asyncio.create_task(self._clock.sleep(seconds))
        try:
            while asking and not timer.done():
                done, _ = await asyncio.wait(
                    {*asking, timer}, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done & asking:
                    asking.discard(task)
                    if task.result() is not None:
                        return task.result()
        finally:
            timer.cancel()
        return None

    async def _ask(self, address: str, seconds: float) -> ConfigAnswer | None:
        try:
            answer = await self._links.request(
                address, ConfigRequest(False), seconds
            )
        except LinkError as error:
            # what it announced stays: nobody may tell of it again
            self._failures[address] += 1
            count = self._failures[address]
            # it goes on for as long as the voter can't be reached
            if count & (count - 1) == 0:
                self._log.warn(
                    "fetch_failed", peer=address, error=str(error), count=count
                )
            return None
        self._announced.pop(address, None)
        return answer

    def _adopt(self, answer: ConfigAnswer) -> None:
        if not answer.known or answer.version <= self._find_current_version():
            return
        try:
            index = RouteIndex(self._decode(answer.unpack()))
        except Exception as error:
            # any exception would end this task, and the entry would get no
            # further configurations
            self._log.warn(
                "configuration_refused",
                version=answer.version,
                error=repr(error),
            )
            return
        self._state.adopt(index)
        self._log.info("configuration_in_force", version=index.version)
