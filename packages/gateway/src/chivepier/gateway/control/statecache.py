"""What a voter may tell at once after a restart."""

import asyncio
import pathlib

import cbor2

from chivepier.gateway.control.configstore import ConfigStore
from chivepier.gateway.control.storedconfig import StoredConfig
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.following import pack_target
from chivepier.gateway.following import unpack_target
from chivepier.gateway.messages import TargetRecord
from chivepier.gateway.quarantine import Ending
from chivepier.gateway.quarantine import Ledger
from chivepier.gateway.quarantine import Life
from chivepier.gateway.targets import TargetTable
from chivepier.gateway.zones import ZoneOrder
from chivepier.state import DamagedError
from chivepier.state.diskstorage import write_synced
from chivepier.state.records import pack_record
from chivepier.state.records import read_records
from chivepier.types import Clock

FILE_NAME = "known"
# Seconds between two writes: targets come and go all the time, and each
# write takes the disk's sync.
MIN_WRITE_INTERVAL_SECONDS = 1.0


class StateCache:
    """Keeps the committed configuration and the targets beside the log.

    A voter that restarts does not know which entries of its log are
    committed until a leader tells it. When all processes are killed at once,
    entries would refuse every caller until a leader is elected, one to two
    seconds more, and then until each target has announced itself. What was
    committed stays so; targets that have ended since are found out by the
    first connection that they refuse. Without what is known of requests that
    end targets, each of these would end three more.

    :param folder: the voter's data folder
    :param table: the targets
    :param ledger: requests that end targets
    :param clock: monotonic time
    :param log: failures of the disk
    """

    def __init__(
        self,
        folder: pathlib.Path,
        table: TargetTable,
        ledger: Ledger,
        clock: Clock,
        log: EventLog,
    ):
        self._folder = folder
        self._table = table
        self._ledger = ledger
        self._clock = clock
        self._log = log
        self._dirty = asyncio.Event()
        table.watchers.append(lambda target, before: self._dirty.set())

    def load(self) -> StoredConfig | None:
        """Read the file: targets go to the table.

        :returns: the configuration, if one was known
        """
        path = self._folder / FILE_NAME
        if not path.exists():
            return None
        try:
            payloads, _ = read_records(path.read_bytes(), FILE_NAME)
            version, body, targets, *rest = cbor2.loads(payloads[0])
        except (DamagedError, IndexError, ValueError, OSError) as error:
            # it spares waiting only; what counts is in the log
            self._log.warn("known_state_unread", error=repr(error))
            return None
        now = self._clock.monotonic()
        for fields in targets:
            self._table.put(unpack_target(TargetRecord(*fields), now))
        # a file of an earlier release has neither of the two
        endings, orders = (*rest, (), ())[:2]
        for zone, index, evacuated in orders:
            order = ZoneOrder(zone, index, evacuated, now)
            self._table.zones.put(order)
        for fields in endings:
            digest, instance, born, age, source, how = fields
            life = Life(instance, born)
            self._ledger.add(Ending(digest, life, now - age, source, how))
        return StoredConfig(version, body) if version >= 0 else None

    async def run(self, store: ConfigStore) -> None:
        """Write what is new, for as long as the node lives.

        :param store: the configuration
        """
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            data = pack_record(cbor2.dumps(self._pack(store)))
            try:
                await asyncio.to_thread(
                    write_synced, self._folder, FILE_NAME, data
                )
            except OSError as error:
                self._log.warn("known_state_unwritten", error=repr(error))
            await self._clock.sleep(MIN_WRITE_INTERVAL_SECONDS)

    def mark_dirty(self) -> None:
        """Note a configuration that was committed, or what ended targets."""
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
                    # as if heard when it is loaded: how long the process
                    # will have been away isn't known
                    0.0,
                    record.born,
                )
            )
        endings = [
            (e.digest, e.life.instance, e.life.born, now - e.seen)
            + (e.source, e.how)
            for digest in self._ledger.suspects
            for e in self._ledger.find_endings(digest)
        ]
        orders = [
            (order.zone, order.index, order.evacuated)
            for order in self._table.zones.orders
        ]
        if config is None:
            return (-1, b"", targets, endings, orders)
        return (config.version, config.body, targets, endings, orders)
