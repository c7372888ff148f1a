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

# Seconds to wait for one voter; after that, the next voter that announced a
# newer configuration is queried. Changes must take effect within about two
# seconds.
ANSWER_SECONDS = 0.8
# Minimum seconds between two fetches.
MIN_PAUSE_SECONDS = 0.1
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

    def _find_current_version(self) -> int:
        index = self._state.index
        return index.version if index is not None else -1

    async def run(self) -> None:
        """Fetch newer configurations until cancelled."""
        while True:
            await self._version_announced.wait()
            self._version_announced.clear()
            while address := self._find_newest_holder():
                answer = await self._fetch(address)
                started_at = self._clock.monotonic()
                if answer is not None:
                    self._adopt(answer)
                duration = self._clock.monotonic() - started_at
                await self._clock.sleep(
                    max(MIN_PAUSE_SECONDS, PAUSE_FACTOR * duration)
                )

    def _find_newest_holder(self) -> str | None:
        current = self._find_current_version()
        newer = {a: v for a, v in self._announced.items() if v > current}
        self._announced = newer
        return max(newer, key=newer.get) if newer else None

    async def _fetch(self, address: str) -> ConfigAnswer | None:
        # a voter that does not answer announces its version again with the
        # next beat; until then another one is queried
        del self._announced[address]
        try:
            return await self._links.request(
                address, ConfigRequest(False), ANSWER_SECONDS
            )
        except LinkError as error:
            self._log.warn("fetch_failed", peer=address, error=str(error))
            return None

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
