"""Store of the zones' evacuation orders in the replicated log."""

import collections.abc

import cbor2

from chivepier.gateway.control.leaderclient import LeaderClient
from chivepier.gateway.control.preparedorder import PreparedOrder
from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.messages import ZoneAnswer
from chivepier.gateway.messages import ZoneRequest
from chivepier.gateway.zones import ZoneOrder
from chivepier.gateway.zones import Zones
from chivepier.messages import ChangeCommand
from chivepier.messages import decode
from chivepier.messages import Edit
from chivepier.messages import encode
from chivepier.messages import Entry
from chivepier.state import LostLeadError
from chivepier.state import NotLeaderError
from chivepier.types import Clock
from chivepier.wire import LinkError

DOCUMENT_KIND = "zone"
# Seconds for which a node tries to reach a leader for an operator; the client
# tries another node after one second.
LEADER_SEARCH_SECONDS = 0.9
# Seconds between two attempts; an election takes some tens of milliseconds.
LEADER_RETRY_SECONDS = 0.05
# Seconds in which the event loop notices that the connection of an order has
# been closed: some iterations of the loop.
DISCONNECT_NOTICE_SECONDS = 0.02


class ZoneStore:
    """Commits evacuation orders and applies committed ones to the zones.

    The last order of each zone is a document in the replicated log, with the
    same durability and snapshots as the configuration. An order has no version
    and is retried when its acknowledgement is lost; an order that is already
    in force is acknowledged without a change.

    A delayed retry must not undo a later order: after a pause of the process,
    a voter handles it as if it had just arrived. It is therefore committed
    only if the zone's last order is still the one that the voter knew and if
    its sender still waits. A readmission of a zone that is not evacuated is
    committed too, so that a delayed retry of an earlier evacuation fails.

    :param leader: client for requests to the leader
    :param zones: receives committed orders
    :param clock: monotonic clock
    :param log: receives committed orders and failed requests
    """

    def __init__(
        self, leader: LeaderClient, zones: Zones, clock: Clock, log: EventLog
    ):
        self._leader = leader
        self._zones = zones
        self._clock = clock
        self._log = log
        self._presumed: tuple[str, ...] = ()
        self._log_end = (0, 0)

    @property
    def _machine(self):
        return self._leader.replica.machine

    def presume(self, entries: collections.abc.Iterable[Entry]) -> None:
        """Treat evacuations in the local log as in force for the time being.

        After a restart, a voter does not know which log entries are committed
        until it hears from a leader. They include orders that were
        acknowledged just before, while targets are sent to entries at once.

        :param entries: all entries of the local log
        """
        last, presumed = None, set()
        for last in entries:
            for zone, evacuated in _decode_orders(last):
                if evacuated:
                    presumed.add(zone)
        if last is None:
            return
        self._log_end = (last.term, last.index)
        self._presumed = tuple(sorted(presumed))
        for zone in self._presumed:
            self._zones.presume(zone, float("inf"))

    def find_presumed(self) -> tuple[str, ...]:
        """Return the zones with an evacuation whose outcome is unknown."""
        term, index = self._log_end
        machine = self._machine
        # Once an entry of a later term, or the end of the log, is applied, all
        # entries committed before it are applied, too.
        if machine.term > term or machine.index >= index:
            for zone in self._presumed:
                self._zones.withdraw(zone)
            self._presumed = ()
        return self._presumed

    def apply_committed(self) -> bool:
        """Apply newly committed orders to the zones.

        :returns: whether there were any
        """
        changed = False
        now = self._clock.monotonic()
        for (kind, zone), document in list(self._machine.documents.items()):
            if kind != DOCUMENT_KIND:
                continue
            evacuated = bool(cbor2.loads(document.spec))
            order = ZoneOrder(zone, document.version, evacuated, now)
            if self._zones.put(order):
                changed = True
                self._log.info(
                    "evacuation_stored",
                    zone=zone,
                    evacuated=evacuated,
                    index=document.version,
                )
        self.find_presumed()
        return changed

    async def submit(self, zone: str, evacuated: bool) -> bool:
        """Prepare an order and commit it; see :meth:`commit`."""
        order = self.prepare(zone, evacuated)
        return await self.commit(order, lambda: True)

    def prepare(self, zone: str, evacuated: bool) -> PreparedOrder:
        """Record the last known order of a zone when a new one arrives.

        :param zone: name of the availability zone
        :param evacuated: whether no new requests may be sent to the zone
        :returns: the order to pass to :meth:`commit`
        """
        known = self._zones.find_order(zone)
        now = self._clock.monotonic()
        return PreparedOrder(zone, evacuated, known.index if known else 0, now)

    async def commit(
        self,
        order: PreparedOrder,
        is_waiting: collections.abc.Callable[[], bool],
    ) -> bool:
        """Write an order to the log.

        :param order: the prepared order
        :param is_waiting: tells whether the sender still waits for the answer
        :returns: ``True`` if the order is committed; ``False`` if its outcome
            is unknown
        """
        await self._clock.sleep(DISCONNECT_NOTICE_SECONDS)
        if not is_waiting():
            self._log.warn("order_dropped", zone=order.zone)
            return False
        deadline = order.received_at + LEADER_SEARCH_SECONDS
        base = order.base_index
        while (remaining := deadline - self._clock.monotonic()) > 0:
            request = ZoneRequest(order.zone, order.evacuated, base)
            try:
                answer = await self._leader.request(
                    request, remaining, self.handle
                )
            except (LinkError, TimeoutError) as error:
                self._log.warn("order_lost", zone=order.zone, error=str(error))
                await self._clock.sleep(LEADER_RETRY_SECONDS)
                continue
            if answer.accepted:
                return True
            if not answer.index:
                await self._clock.sleep(LEADER_RETRY_SECONDS)
            elif is_waiting():
                # This node had not yet applied the zone's last order.
                base = answer.index
            else:
                break
        self._log.warn("order_unsure", zone=order.zone)
        return False

    async def handle(self, request: ZoneRequest) -> ZoneAnswer:
        """Commit an order as the leader.

        :param request: the order, sent by any voter
        :returns: the answer; not accepted if this node does not lead
        """
        try:
            await self._leader.wait_for_commits()
            document = self._machine.documents.get(
                (DOCUMENT_KIND, request.zone)
            )
            if document is not None:
                if bool(cbor2.loads(document.spec)) is request.evacuated:
                    return ZoneAnswer(True)
                if document.version != request.base_index:
                    return ZoneAnswer(False, document.version)
            elif request.base_index:
                return ZoneAnswer(False)
            answer = await self._propose(request)
        except (NotLeaderError, LostLeadError) as error:
            self._log.warn("order_unsure", zone=request.zone, why=repr(error))
            return ZoneAnswer(False)
        if answer.error:
            found = self._machine.documents.get((DOCUMENT_KIND, request.zone))
            return ZoneAnswer(False, found.version if found else 0)
        return ZoneAnswer(True)

    async def _propose(self, request: ZoneRequest):
        spec = cbor2.dumps(request.evacuated)
        # The name makes retries idempotent: an order with the same base is the
        # same change and gets the stored answer.
        verb = "evacuate" if request.evacuated else "readmit"
        name = f"{verb}-{request.zone}-{request.base_index}"
        edit = Edit(DOCUMENT_KIND, request.zone, request.base_index, spec)
        command = ChangeCommand(name, "", (edit,))
        return await self._leader.replica.propose(encode(command))


def _decode_orders(
    entry: Entry,
) -> collections.abc.Iterator[tuple[str, bool]]:
    # Skips decoding of configurations, which make up most log entries.
    if DOCUMENT_KIND.encode() not in entry.command:
        return
    command = decode(entry.command)
    if not isinstance(command, ChangeCommand):
        return
    for edit in command.edits:
        if edit.kind == DOCUMENT_KIND and edit.spec is not None:
            yield edit.name, bool(cbor2.loads(edit.spec))
