"""Telling voters where streams began, and asking them."""

import asyncio
import collections.abc
import contextlib

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import OriginAnswer
from chivepier.gateway.messages import OriginNotice
from chivepier.gateway.messages import OriginRequest
from chivepier.gateway.origins import choose_holders
from chivepier.gateway.origins import Origin
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.origins import OriginTable
from chivepier.gateway.origins import pack_origin
from chivepier.gateway.origins import unpack_origin
from chivepier.gateway.serving import UnansweredError
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock
from chivepier.wire import LinkError
from chivepier.wire import Links

# Seconds for which records are gathered before they are sent.
GATHER_SECONDS = 0.02
# Seconds between two checks for voters that have started again, and before
# what a voter has not confirmed is sent once more.
POLL_SECONDS = 0.2
# Seconds to wait for a voter's confirmation.
CONFIRM_SECONDS = 0.8
# Seconds that a caller's first event waits for a voter to keep where its
# stream began: with the gathering less than an event may be late.
HOLD_SECONDS = 0.08
# Seconds that a caller waits for what voters know.
ASK_SECONDS = 0.25
# Seconds between two removals of streams that are kept no longer.
EXPIRY_INTERVAL_SECONDS = 5.0
# Streams that are looked at before others get their turn.
MAX_UNINTERRUPTED = 50
# Records of one message, and those that wait for one voter.
MAX_RECORDS = 500
MAX_WAITING = 10_000

ListKeepers = collections.abc.Callable[[], dict[str, str]]


class OriginExchange:
    """Tells some voters of each stream that another entry may have to go on.

    Nothing is told while a route's only service runs one version: then that is
    the answer for each stream. As another one appears, all that is known of
    the streams here is told, and again to a voter that has started again.

    :param origins: where the streams of this entry began
    :param targets: the known targets and their versions
    :param links: links to the voters
    :param list_keepers: returns the voters that can be told, with what
        identifies the run of each
    :param clock: source of monotonic time
    :param log: event log of this process
    """

    def __init__(
        self,
        origins: OriginTable,
        targets: TargetTable,
        links: Links,
        list_keepers: ListKeepers,
        clock: Clock,
        log: EventLog,
    ):
        self._origins = origins
        self._targets = targets
        self._links = links
        self._list_keepers = list_keepers
        self._clock = clock
        self._log = log
        self._expired_at = clock.monotonic()
        self._services: set[str] = set()
        self._changed = asyncio.Event()
        self._told: dict[str, tuple[str, frozenset[str]]] = {}
        self._waiting: dict[str, dict[OriginKey, Origin]] = {}
        self._held: dict[OriginKey, asyncio.Event] = {}
        self._sending: dict[str, asyncio.Task] = {}

    def publish(self, origin: Origin, always: bool = False) -> None:
        """Tell where a stream began, if there is more than one version.

        :param origin: where it began
        :param always: whether to tell it of the only version, too, as its
            route has other services
        """
        self._services.add(origin.service)
        if not always and not self._is_mixed(origin.service):
            return
        for voter in choose_holders(origin.key, self._list_keepers()):
            self._enqueue(voter, origin)
        self._changed.set()

    async def hold(self, *keys: OriginKey) -> None:
        """Wait until a voter keeps where a stream began, if one is told.

        An entry that ends right after a caller's first event would have told
        nobody.

        :param keys: identify the stream
        """
        events = [
            self._held.setdefault(key, asyncio.Event())
            for key in keys
            if any(key in waiting for waiting in self._waiting.values())
        ]
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOLD_SECONDS):
                    for event in events:
                        await event.wait()
        finally:
            for key in keys:
                self._held.pop(key, None)

    def _is_mixed(self, service: str) -> bool:
        return len(self._targets.list_versions(service)) > 1

    def _enqueue(self, voter: str, origin: Origin) -> None:
        waiting = self._waiting.setdefault(voter, {})
        waiting[origin.key] = origin
        if len(waiting) > MAX_WAITING:
            del waiting[next(iter(waiting))]

    async def run(self) -> None:
        """Send what is to be told until cancelled."""
        try:
            while True:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(POLL_SECONDS):
                        await self._changed.wait()
                await self._clock.sleep(GATHER_SECONDS)
                self._changed.clear()
                self._expire()
                await self._repeat()
                self._start_sending()
        finally:
            for task in self._sending.values():
                task.cancel()

    def _expire(self) -> None:
        now = self._clock.monotonic()
        if now - self._expired_at >= EXPIRY_INTERVAL_SECONDS:
            self._expired_at = now
            self._origins.expire(now)

    async def _repeat(self) -> None:
        """Tell all streams of a service that another version has joined."""
        keepers = self._list_keepers()
        mixed = frozenset(
            service for service in self._services if self._is_mixed(service)
        )
        new: dict[str, frozenset[str]] = {}
        for voter, epoch in keepers.items():
            known_epoch, known = self._told.get(voter, ("", frozenset()))
            new[voter] = mixed - known if epoch == known_epoch else mixed
        if any(new.values()):
            await self._enqueue_all(keepers, new)
        for voter, epoch in keepers.items():
            self._told[voter] = epoch, mixed

    async def _enqueue_all(
        self, keepers: dict[str, str], new: dict[str, frozenset[str]]
    ) -> None:
        for number, origin in enumerate(self._origins):
            if number % MAX_UNINTERRUPTED == 0:
                # events of other streams must not wait for all of them
                await asyncio.sleep(0)
            for voter in choose_holders(origin.key, keepers):
                if origin.service in new[voter]:
                    self._enqueue(voter, origin)

    def _start_sending(self) -> None:
        keepers = self._list_keepers()
        for voter in list(self._waiting):
            if voter not in keepers:
                # what it would keep is told to others, or again when it is
                # back
                del self._waiting[voter]
                self._told.pop(voter, None)
            elif voter not in self._sending:
                task = asyncio.create_task(self._send(voter))
                self._sending[voter] = task
                task.add_done_callback(
                    lambda _, voter=voter: self._sending.pop(voter, None)
                )

    async def _send(self, voter: str) -> None:
        while waiting := self._waiting.get(voter):
            batch = dict(list(waiting.items())[:MAX_RECORDS])
            now = self._clock.monotonic()
            records = tuple(pack_origin(o, now) for o in batch.values())
            try:
                await self._links.request(
                    voter, OriginNotice(records), CONFIRM_SECONDS
                )
            except LinkError as error:
                self._log.warn(
                    "origins_untold",
                    peer=voter,
                    count=len(waiting),
                    error=str(error),
                )
                await self._clock.sleep(POLL_SECONDS)
                continue
            for key, origin in batch.items():
                if waiting.get(key) is origin:
                    del waiting[key]
                if key in self._held:
                    self._held[key].set()

    async def ask(self, key: OriginKey) -> Origin | None:
        """Ask the voters that keep it where a stream began.

        :param key: identifies the stream
        :returns: where it began; ``None`` if most of them do not know it
        :raises UnansweredError: when most of them have not answered in time
        """
        voters = choose_holders(key, self._list_keepers())
        asks = [self._ask_voter(voter, key) for voter in voters]
        unanswered = 0
        for ask in asyncio.as_completed(asks):
            match await ask:
                case OriginAnswer(records=(record,)):
                    return unpack_origin(record, self._clock.monotonic())
                case None:
                    unanswered += 1
        # those that were told may be among those that are silent
        if 2 * unanswered >= len(voters) > 0:
            raise UnansweredError
        return None

    async def _ask_voter(
        self, voter: str, key: OriginKey
    ) -> OriginAnswer | None:
        request = OriginRequest(key.team, key.attempt)
        try:
            return await self._links.request(voter, request, ASK_SECONDS)
        except LinkError as error:
            self._log.warn("origin_unasked", peer=voter, error=str(error))
            return None
