"""On-disk cache of the state that a voter serves right after a restart."""

import asyncio
import contextlib
import pathlib

import attrs
import cbor2

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import pack_past_version
from chivepier.gateway.following import pack_target
from chivepier.gateway.following import unpack_past_version
from chivepier.gateway.following import unpack_target
from chivepier.gateway.messages import OriginRecord
from chivepier.gateway.messages import TargetRecord
from chivepier.gateway.messages import VersionRecord
from chivepier.gateway.origins import OriginTable
from chivepier.gateway.origins import pack_origin
from chivepier.gateway.origins import unpack_origin
from chivepier.gateway.quarantine import CrashLedger
from chivepier.gateway.quarantine import Ending
from chivepier.gateway.quarantine import Incarnation
from chivepier.gateway.targets import Target
from chivepier.gateway.targets import TargetState
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import ZoneOrder
from chivepier.state import DamagedError
from chivepier.state.files import write_synced
from chivepier.state.records import pack_record
from chivepier.state.records import read_records
from chivepier.types import Clock

FILE_NAME = "known"
# Targets change all the time, and each write costs a sync of the disk.
MIN_WRITE_INTERVAL_SECONDS = 1.0
# Origins that survive the end of all processes, two of each stream; each write
# holds all of them.
MAX_SAVED_ORIGINS = 2_000
# Team, software, whether it answered, and parts of an ending in a file of an
# earlier release.
NO_CAUSE = ("", "", False, ())


class StateCache:
    """Saves the committed configuration, zone orders, targets and quarantine.

    After a restart, a voter does not know which log entries are committed
    until it hears from a leader. Without the cache, entries would reject every
    caller after a restart of all processes, until a leader is elected (1 to
    2 s) and each target has announced itself. Cached data is safe: committed
    entries stay committed, and a target that has ended refuses its first
    connection. Without the quarantine records, each request that crashes
    targets would crash three more.

    :param folder: data directory of the voter
    :param table: table of the targets
    :param ledger: records of requests that crash targets
    :param origins: where streams began, of which the newest are saved
    :param clock: monotonic clock
    :param log: receives failures of reads and writes
    :ivar restored: whether the file was read
    """

    def __init__(
        self,
        folder: pathlib.Path,
        table: TargetTable,
        ledger: CrashLedger,
        origins: OriginTable,
        clock: Clock,
        log: EventLog,
    ):
        self._folder = folder
        self._table = table
        self._ledger = ledger
        self._origins = origins
        self._clock = clock
        self._log = log
        self._dirty = asyncio.Event()
        self._urgent = asyncio.Event()
        self._saved_versions: set[tuple[str, str]] = set()
        self._is_refused = False
        self.restored = False
        table.watchers.append(self._handle_change)

    def _handle_change(
        self, target: Target, before: TargetState | None
    ) -> None:
        """Schedule a write, at once for a version that none had before.

        After the end of all processes a stream of a version that no voter
        remembers would be taken for one of the version that is left.
        """
        self._dirty.set()
        version = target.service, target.software_version
        if version not in self._saved_versions:
            self._urgent.set()

    def load(self) -> StoredConfig | None:
        """Read the file and restore targets, zone orders and quarantine.

        :returns: the committed configuration, if one was saved
        """
        path = self._folder / FILE_NAME
        if not path.exists():
            return None
        try:
            payloads, _ = read_records(path.read_bytes(), FILE_NAME)
            version, body, targets, *rest = cbor2.loads(payloads[0])
        except (DamagedError, IndexError, ValueError, OSError) as error:
            # The cache only saves waiting; the log holds the durable state.
            self._log.warn("known_state_unread", error=repr(error))
            return None
        now = self._clock.monotonic()
        # Files of earlier releases contain none of these fields, or two.
        padded = (*rest, (), (), (), (), (), ())[:6]
        endings, orders, versions, origins, causes, past = padded
        software = {(name, born): version for name, born, version in versions}
        for fields in targets:
            target = unpack_target(TargetRecord(*fields), now)
            target.software_version = software.get(
                (target.instance, target.born), ""
            )
            self._table.put(target)
        for fields in origins:
            self._origins.put(unpack_origin(OriginRecord(*fields), now), now)
        for fields in past:
            version_record = VersionRecord(*fields)
            self._table.past_versions.put(
                unpack_past_version(version_record, now)
            )
        for zone, index, evacuated in orders:
            order = ZoneOrder(zone, index, evacuated, now)
            self._table.zones.put(order)
        by_ending = {tuple(key): cause for *key, cause in causes}
        for fields in endings:
            digest, instance, born, age, source, how = fields
            life = Incarnation(instance, born)
            cause = by_ending.get((digest, instance, born), NO_CAUSE)
            team, software, answering, parts = cause
            self._ledger.add(
                Ending(
                    digest,
                    life,
                    now - age,
                    source,
                    how,
                    team,
                    software,
                    answering,
                    tuple(parts),
                )
            )
        self.restored = True
        return StoredConfig(version, body) if version >= 0 else None

    async def run(self, store: ConfigStore) -> None:
        """Write the file after each change until cancelled.

        :param store: store of the configuration
        """
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            self._urgent.clear()
            versions = {
                (target.service, target.software_version)
                for target in self._table
            }
            try:
                data = pack_record(cbor2.dumps(self._pack(store)))
                await asyncio.to_thread(
                    write_synced, self._folder, FILE_NAME, data
                )
            except OSError as error:
                self._note_refusal(error)
                # nobody may mark it again before the next end
                self._dirty.set()
            except BaseException:
                self._dirty.set()
                raise
            else:
                self._note_refusal(None)
                self._saved_versions = versions
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MIN_WRITE_INTERVAL_SECONDS):
                    await self._urgent.wait()

    def _note_refusal(self, error: OSError | None) -> None:
        """Log the first refused write, and the first that passes again."""
        is_refused = error is not None
        if is_refused and not self._is_refused:
            self._log.warn("known_state_unwritten", error=repr(error))
        elif self._is_refused and not is_refused:
            self._log.info("known_state_written")
        self._is_refused = is_refused

    def note_config(self) -> None:
        """Schedule a write after a new configuration, at once.

        After the end of all processes, entries serve by what is saved until
        there is a leader: requests would go to the services of an older one.
        """
        self._dirty.set()
        self._urgent.set()

    def mark_dirty(self) -> None:
        """Schedule a write after a change of anything but the targets."""
        self._dirty.set()

    def _pack(self, store: ConfigStore) -> tuple:
        now = self._clock.monotonic()
        config = store.find_committed()
        targets = []
        for target in self._table:
            record = pack_target(target, now)
            targets.append(
                (
                    record.instance,
                    record.service,
                    record.address,
                    record.zone,
                    record.state,
                    record.number,
                    record.slots,
                    record.warming,
                    # Age 0: the target counts as heard at the time of loading,
                    # as the downtime of this process is unknown.
                    0.0,
                    record.born,
                )
            )
        evidence = self._ledger.list_evidence()
        endings = [
            (
                e.digest,
                e.incarnation.instance,
                e.incarnation.born,
                now - e.seen,
            )
            + (e.source, e.how)
            for e in evidence
        ]
        # apart from the endings, which earlier releases read by their length
        causes = [
            (
                e.digest,
                e.incarnation.instance,
                e.incarnation.born,
                (e.team, e.software, e.answering, e.parts),
            )
            for e in evidence
        ]
        orders = [
            (order.zone, order.index, order.evacuated)
            for order in self._table.zones.orders
        ]
        # apart from the records, which earlier releases read by their length
        versions = [
            (target.instance, target.born, target.software_version)
            for target in self._table
        ]
        newest = list(self._origins)[-MAX_SAVED_ORIGINS:]
        origins = [attrs.astuple(pack_origin(o, now)) for o in newest]
        past = [
            attrs.astuple(pack_past_version(p, now))
            for p in self._table.past_versions
        ]
        state = (targets, endings, orders, versions, origins, causes, past)
        if config is None:
            return (-1, b"", *state)
        return (config.version, config.body, *state)
