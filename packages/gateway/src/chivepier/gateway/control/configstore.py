"""The one configuration, in the replicated log."""

import hashlib
import zlib

import cbor2

from chivepier.gateway.control.leaderlink import LeaderLink
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import ConfigAnswer
from chivepier.gateway.messages import ConfigRequest
from chivepier.gateway.messages import WriteAnswer
from chivepier.gateway.messages import WriteRequest
from chivepier.messages import ChangeCommand
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.state import LostLeadError
from chivepier.state import Machine
from chivepier.state import NotLeaderError
from chivepier.types import Clock
from chivepier.wire import LinkError
from chivepier.wire import RefusedError

KIND = "configuration"
NAME = "whole"
# Seconds for which a node looks for a leader on behalf of a caller, who
# turns to another node after one second.
SEARCH_SECONDS = 0.9
# Seconds between two looks for a leader; a vote takes some tens of ms.
SEARCH_PAUSE = 0.05
# The fastest level: repeated names make up most of a configuration.
COMPRESSION = 1


class ConfigStore:
    """Keeps the configuration with the highest version.

    The version is the operator's own. A change is compared with what is
    stored by the leader, and written on the condition that this is still
    stored, so of two contents under one version only the first counts.

    :param leader: the way to the leader
    :param clock: monotonic time
    :param log: what this process believes
    """

    def __init__(self, leader: LeaderLink, clock: Clock, log: EventLog):
        self._leader = leader
        self._clock = clock
        self._log = log
        self._cache: tuple[int, StoredConfig | None] = (-1, None)
        self._known: StoredConfig | None = None
        self._packed: tuple[int, bytes] = (-1, b"")

    def use_known(self, known: StoredConfig | None) -> None:
        """Take what was known to be committed before a restart."""
        self._known = known

    def held(self) -> StoredConfig | None:
        """Return what this node knows to be committed, if anything."""
        applied, known = self._find_applied(), self._known
        if applied is None or known is None:
            return applied or known
        return known if known.version > applied.version else applied

    def _find_applied(self) -> StoredConfig | None:
        document = self._machine.documents.get((KIND, NAME))
        if document is None:
            return None
        if self._cache[0] != document.version:
            stored = StoredConfig(*cbor2.loads(document.spec))
            self._cache = (document.version, stored)
        return self._cache[1]

    @property
    def _machine(self) -> Machine:
        return self._leader.replica.machine

    async def write(self, version: int, body: bytes) -> bool:
        """Store a configuration unless a higher version is stored.

        :param version: the operator's
        :param body: as it was sent
        :returns: whether it, or a version not lower, is stored for good;
            if not, it may or may not be
        """
        request = WriteRequest(version, body)
        deadline = self._clock.monotonic() + SEARCH_SECONDS
        while (left := deadline - self._clock.monotonic()) > 0:
            try:
                answer = await self._leader.ask(request, left, self.handle)
            except (LinkError, TimeoutError) as error:
                self._log.warn("write_lost", version=version, error=str(error))
            else:
                if answer.accepted:
                    return True
            await self._clock.sleep(SEARCH_PAUSE)
        return False

    async def read(self) -> StoredConfig | None:
        """Return the newest configuration, or nothing when unsure.

        :returns: what holds all that was accepted before the call
        """
        deadline = self._clock.monotonic() + SEARCH_SECONDS
        while (left := deadline - self._clock.monotonic()) > 0:
            try:
                answer = await self._leader.ask(
                    ConfigRequest(True), left, self.handle
                )
            except (LinkError, TimeoutError) as error:
                self._log.warn("read_lost", error=str(error))
            else:
                if answer.known:
                    return StoredConfig(answer.version, answer.unpack())
            await self._clock.sleep(SEARCH_PAUSE)
        return None

    async def handle(self, request) -> WriteAnswer | ConfigAnswer:
        """Answer another node, as the leader.

        :param request: a write or a read
        :returns: the answer; unsure when this node does not lead
        """
        match request:
            case WriteRequest(version=version, body=body):
                return await self._write_here(version, body)
            case ConfigRequest(confirmed=True):
                return await self._read_here()
            case ConfigRequest():
                return self._pack(self.held())
            case other:
                raise RefusedError(f"not for the store: {other!r}")

    async def _read_here(self) -> ConfigAnswer:
        try:
            await self._leader.catch_up()
        except NotLeaderError:
            return ConfigAnswer(False, 0, b"")
        return self._pack(self.held())

    def _pack(self, stored: StoredConfig | None) -> ConfigAnswer:
        if stored is None:
            return ConfigAnswer(False, 0, b"")
        # every entry asks for the same one: it is compressed once
        if self._packed[0] != stored.version:
            packed = zlib.compress(stored.body, level=COMPRESSION)
            self._packed = (stored.version, packed)
        return ConfigAnswer(True, *self._packed)

    async def _write_here(self, version: int, body: bytes) -> WriteAnswer:
        try:
            while True:
                await self._leader.catch_up()
                held = self.held()
                if held is not None and version <= held.version:
                    return WriteAnswer(True, "")
                answer = await self._propose(version, body)
                if not answer.error:
                    self._log.info("configuration_stored", version=version)
                    return WriteAnswer(True, "")
        except (NotLeaderError, LostLeadError) as error:
            return WriteAnswer(False, repr(error))

    async def _propose(self, version: int, body: bytes):
        document = self._machine.documents.get((KIND, NAME))
        base = document.version if document else 0
        spec = cbor2.dumps((version, body))
        digest = hashlib.sha256(spec).hexdigest()[:16]
        # the base is part of the name: a repeated attempt after a conflict
        # is another change and must not get the first one's answer
        name = f"{version}-{base}-{digest}"
        edit = Edit(KIND, NAME, base, spec)
        command = ChangeCommand(name, "", (edit,))
        return await self._leader.replica.propose(encode(command))
