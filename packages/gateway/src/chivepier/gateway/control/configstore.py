"""Store of the configuration in the replicated log."""

import collections
import collections.abc
import hashlib
import zlib

import cbor2

from chivepier.gateway.control.leaderclient import LeaderClient
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.control.trouble import describe_trouble
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

DOCUMENT_KIND = "configuration"
DOCUMENT_NAME = "whole"
# Seconds for which a node tries to reach a leader for a caller; callers try
# another node after one second.
LEADER_SEARCH_SECONDS = 0.9
# Seconds between two attempts; an election takes some tens of milliseconds.
LEADER_RETRY_SECONDS = 0.05
# Seconds to wait for one answer to a read, so that a second one goes over
# another connection if the first has gone silent. A leader answers reads from
# memory; a write may wait for its disk.
READ_ATTEMPT_SECONDS = 0.4
# The fastest level suffices: most of a configuration is repeated names.
COMPRESSION_LEVEL = 1
# A voter that was asked as the leader holds no lease.
UNCONFIRMED = "the voter that was asked does not lead"


class ConfigStore:
    """Keeps the configuration with the highest version.

    Versions are set by the operator. The leader writes a configuration as a
    compare-and-swap against the stored one, so of two contents with the same
    version only the first is stored.

    :param leader: client for requests to the leader
    :param clock: monotonic clock
    :param log: receives stored versions and failed requests
    :param handle_learned: called when a leader's answer to this node tells of
        a newer configuration than the log
    """

    def __init__(
        self,
        leader: LeaderClient,
        clock: Clock,
        log: EventLog,
        handle_learned: collections.abc.Callable[[], None] = lambda: None,
    ):
        self._leader = leader
        self._clock = clock
        self._log = log
        self._handle_learned = handle_learned
        self._decoded: tuple[int, StoredConfig | None] = (-1, None)
        self._cached: StoredConfig | None = None
        self._compressed: tuple[int, bytes] = (-1, b"")

    def load_cached(self, cached: StoredConfig | None) -> None:
        """Set the configuration known as committed before a restart."""
        self._cached = cached

    def find_committed(self) -> StoredConfig | None:
        """Return the latest configuration known as committed, or ``None``."""
        applied, cached = self._find_applied(), self._cached
        if applied is None or cached is None:
            return applied or cached
        return cached if cached.version > applied.version else applied

    def _learn(self, stored: StoredConfig) -> None:
        """Take a committed configuration from a leader's answer.

        The log may come later by as much as a silent link takes to be
        replaced, or an election: entries that hear this node alone would lack
        until then what it has acknowledged.
        """
        known = self.find_committed()
        if known is None or stored.version > known.version:
            self._cached = stored
            self._handle_learned()

    def _find_applied(self) -> StoredConfig | None:
        document = self._machine.documents.get((DOCUMENT_KIND, DOCUMENT_NAME))
        if document is None:
            return None
        if self._decoded[0] != document.version:
            stored = StoredConfig(*cbor2.loads(document.spec))
            self._decoded = (document.version, stored)
        return self._decoded[1]

    @property
    def _machine(self) -> Machine:
        return self._leader.replica.machine

    async def write(self, version: int, body: bytes) -> bool:
        """Store a configuration unless a higher version is stored.

        :param version: version number set by the operator
        :param body: unmodified bytes of the configuration
        :returns: ``True`` if this or a later version is committed; ``False``
            if the outcome is unknown
        """
        request = WriteRequest(version, body)
        began = self._clock.monotonic()
        deadline = began + LEADER_SEARCH_SECONDS
        reasons: collections.Counter[str] = collections.Counter()
        while (remaining := deadline - self._clock.monotonic()) > 0:
            try:
                answer = await self._leader.request(
                    request, remaining, self.handle
                )
            except (LinkError, TimeoutError) as error:
                reasons[str(error)] += 1
            else:
                if answer.accepted:
                    if answer.stored:
                        self._learn(StoredConfig(version, body))
                    self._write_acknowledged(version, began)
                    return True
                reasons[answer.reason] += 1
            await self._clock.sleep(LEADER_RETRY_SECONDS)
        self._write_lost("write_lost", reasons, version=version)
        return False

    async def read(self) -> StoredConfig | None:
        """Read the configuration with linearizable consistency.

        :returns: a configuration that includes every write acknowledged
            before the call; ``None`` if no leader confirmed one in time
        """
        deadline = self._clock.monotonic() + LEADER_SEARCH_SECONDS
        reasons: collections.Counter[str] = collections.Counter()
        while (remaining := deadline - self._clock.monotonic()) > 0:
            try:
                answer = await self._leader.request(
                    ConfigRequest(True),
                    min(remaining, READ_ATTEMPT_SECONDS),
                    self.handle,
                )
            except (LinkError, TimeoutError) as error:
                reasons[str(error)] += 1
            else:
                if answer.known:
                    stored = StoredConfig(answer.version, answer.unpack())
                    self._learn(stored)
                    return stored
                reasons[UNCONFIRMED] += 1
            await self._clock.sleep(LEADER_RETRY_SECONDS)
        self._write_lost("read_lost", reasons)
        return None

    def _write_acknowledged(self, version: int, began: float) -> None:
        known = self.find_committed()
        self._log.info(
            "configuration_acknowledged",
            version=version,
            known=known.version if known else -1,
            leader=self._leader.replica.leader,
            ms=round(1000 * (self._clock.monotonic() - began)),
        )

    def _write_lost(
        self, event: str, reasons: collections.Counter[str], **fields: int
    ) -> None:
        """Log a request that no leader answered, and what is known here."""
        replica = self._leader.replica
        self._log.warn(
            event,
            **fields,
            **describe_trouble(replica.describe_condition()),
            error=", ".join(reasons),
            attempts=reasons.total(),
            leader=replica.leader,
            term=replica.storage.term,
            index=replica.storage.last_index,
            votes=replica.votes(),
            voters=[voter.node for voter in replica.voters],
        )

    async def handle(self, request) -> WriteAnswer | ConfigAnswer:
        """Answer a read or write request of another node.

        :param request: a ``WriteRequest`` or ``ConfigRequest``
        :returns: the answer; not accepted, or not known, if the request needs
            the leader and this node does not lead
        """
        match request:
            case WriteRequest(version=version, body=body):
                return await self._write_as_leader(version, body)
            case ConfigRequest(confirmed=True):
                return await self._read_as_leader()
            case ConfigRequest():
                return self._pack(self.find_committed())
            case other:
                raise RefusedError(f"not for the store: {other!r}")

    async def _read_as_leader(self) -> ConfigAnswer:
        try:
            await self._leader.wait_for_commits()
        except NotLeaderError:
            return ConfigAnswer(False, 0, b"")
        return self._pack(self.find_committed())

    def _pack(self, stored: StoredConfig | None) -> ConfigAnswer:
        if stored is None:
            return ConfigAnswer(False, 0, b"")
        # Every entry fetches the same configuration, so compress it once.
        if self._compressed[0] != stored.version:
            compressed = zlib.compress(stored.body, level=COMPRESSION_LEVEL)
            self._compressed = (stored.version, compressed)
        return ConfigAnswer(True, *self._compressed)

    async def _write_as_leader(self, version: int, body: bytes) -> WriteAnswer:
        try:
            while True:
                await self._leader.wait_for_commits()
                committed = self.find_committed()
                if committed is not None and version <= committed.version:
                    is_same = committed == StoredConfig(version, body)
                    return WriteAnswer(True, "", is_same)
                answer = await self._propose(version, body)
                if not answer.error:
                    self._log.info("configuration_stored", version=version)
                    return WriteAnswer(True, "", True)
        except (NotLeaderError, LostLeadError) as error:
            return WriteAnswer(False, repr(error))

    async def _propose(self, version: int, body: bytes):
        document = self._machine.documents.get((DOCUMENT_KIND, DOCUMENT_NAME))
        base = document.version if document else 0
        spec = cbor2.dumps((version, body))
        digest = hashlib.sha256(spec).hexdigest()[:16]
        # The base is part of the name: an attempt after a conflict is a new
        # change and must not get the stored answer of the first one.
        name = f"{version}-{base}-{digest}"
        edit = Edit(DOCUMENT_KIND, DOCUMENT_NAME, base, spec)
        command = ChangeCommand(name, "", (edit,))
        return await self._leader.replica.propose(encode(command))
