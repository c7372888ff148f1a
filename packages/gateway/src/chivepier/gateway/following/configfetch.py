"""Fetching the newest configuration from the voters."""

import asyncio
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

# Seconds to wait for one voter; then the next one that has told of a newer
# configuration is asked. A change must be in force within some two seconds.
ANSWER_SECONDS = 0.8
# Least seconds between two fetches.
LEAST_PAUSE = 0.1
# An entry spends at most one part in so many of its time on configurations.
PAUSE_FACTOR = 5

Decode = collections.abc.Callable[[bytes], Configuration]


class ConfigFetch:
    """Asks for the newest configuration, one fetch at a time.

    Voters tell the version only. Whole ones, each from every voter, would fill
    the links that callers' answers need. Versions that are overtaken while a
    fetch is under way are never fetched.

    :param links: to the voters
    :param decode: reads a configuration as it was sent
    :param state: is given each newer configuration
    :param clock: monotonic time
    :param log: what this process believes
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
        self._told: dict[str, int] = {}
        self._news = asyncio.Event()

    def note(self, address: str, version: int) -> None:
        """Take which version a voter holds.

        :param address: the voter's
        :param version: -1 when it holds none
        """
        if version > self._held():
            self._told[address] = version
            self._news.set()

    def _held(self) -> int:
        index = self._state.index
        return index.version if index is not None else -1

    async def run(self) -> None:
        """Fetch what is newer, for as long as the node lives."""
        while True:
            await self._news.wait()
            self._news.clear()
            while address := self._find_newest():
                answer = await self._fetch(address)
                began = self._clock.monotonic()
                if answer is not None:
                    self._adopt(answer)
                spent = self._clock.monotonic() - began
                await self._clock.sleep(max(LEAST_PAUSE, PAUSE_FACTOR * spent))

    def _find_newest(self) -> str | None:
        held = self._held()
        newer = {a: v for a, v in self._told.items() if v > held}
        self._told = newer
        return max(newer, key=newer.get) if newer else None

    async def _fetch(self, address: str) -> ConfigAnswer | None:
        # a voter that does not answer tells its version again with the next
        # beat; until then another one is asked
        del self._told[address]
        try:
            return await self._links.request(
                address, ConfigRequest(False), ANSWER_SECONDS
            )
        except LinkError as error:
            self._log.warn("fetch_failed", peer=address, error=str(error))
            return None

    def _adopt(self, answer: ConfigAnswer) -> None:
        if not answer.known or answer.version <= self._held():
            return
        try:
            index = RouteIndex(self._decode(answer.unpack()))
        except Exception as error:
            # whatever it raises: with this task ended, the entry would
            # follow no change any more
            self._log.warn(
                "configuration_refused",
                version=answer.version,
                error=repr(error),
            )
            return
        self._state.adopt(index)
        self._log.info("configuration_in_force", version=index.version)
