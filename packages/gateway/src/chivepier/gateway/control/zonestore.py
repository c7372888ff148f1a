"""Operators' orders about availability zones, in the replicated log."""

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
# Seconds for which a node looks for a leader on behalf of an operator, who
# turns to another node after one second.
LEADER_SEARCH_SECONDS = 0.9
# Seconds between two looks for a leader; a vote takes some tens of ms.
LEADER_RETRY_SECONDS = 0.05
# Seconds after which the end of a connection that had come with an order has
# been noticed: some rounds of the event loop.
DISCONNECT_NOTICE_SECONDS = 0.02


class ZoneStore:
    """Carries out orders about zones, and follows those of others.

    Each zone's last order is a document of the log: as durable as the
    configuration, in the same snapshots, and told to a voter that starts
    anew. An order has no version of its own, and is sent again when its
    acknowledgement is lost; what is wanted already is acknowledged without
    another change.

    A repeat that was held up must not undo the order that was given since:
    a voter that stood still wakes with it, as if it had just come. So it is
    carried out only if the zone's last order is still the one that the
    voter knew, and while its sender waits. Ending an evacuation that never
    was is written down, too: it makes an older repeat of its beginning fail.

    :param leader: the way to the leader
    :param zones: is given what was committed
    :param clock: monotonic time
    :param log: what this process believes
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
        """Keep to the orders of the log's end until their outcome is known.

        A voter that starts anew does not know which entries are committed
        until a leader tells it. What was acknowledged just before is among
        them, and its targets are told to entries at once.

        :param entries: all that the log holds
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
        """Return the zones whose orders have no known outcome yet."""
        term, index = self._log_end
        machine = self._machine
        # an entry of a later term, or the log's end, is applied: whatever
        # was committed before is applied, too
        if machine.term > term or machine.index >= index:
            for zone in self._presumed:
                self._zones.withdraw(zone)
            self._presumed = ()
        return self._presumed

    def apply_committed(self) -> bool:
        """Take what was committed since.

        :returns: whether there was any order among it
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
        """Carry out an order; see :meth:`commit`."""
        order = self.prepare(zone, evacuated)
        return await self.commit(order, lambda: True)

    def prepare(self, zone: str, evacuated: bool) -> PreparedOrder:
        """Note what is known of a zone when an order about it comes.

        :param zone: its name
        :param evacuated: whether nothing new may be sent there
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

        :param order: as it came
        :param waits: whether its sender still waits for the answer
        :returns: whether it is in force for good; if not, it may be
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
                # it was this node that knew too little
                base = answer.index
            else:
                break
        self._log.warn("order_unsure", zone=order.zone)
        return False

    async def handle(self, request: ZoneRequest) -> ZoneAnswer:
        """Write another voter's order, as the leader.

        :param request: the order
        :returns: the answer; unsure when this node does not lead
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
        # one change for each order that it follows: a repeat of this one
        # gets the same answer
        verb = "evacuate" if request.evacuated else "readmit"
        name = f"{verb}-{request.zone}-{request.base_index}"
        edit = Edit(DOCUMENT_KIND, request.zone, request.base_index, spec)
        command = ChangeCommand(name, "", (edit,))
        return await self._leader.replica.propose(encode(command))


def _decode_orders(
    entry: Entry,
) -> collections.abc.Iterator[tuple[str, bool]]:
    # most entries hold whole configurations: these are not read
    if DOCUMENT_KIND.encode() not in entry.command:
        return
    command = decode(entry.command)
    if not isinstance(command, ChangeCommand):
        return
    for edit in command.edits:
        if edit.kind == DOCUMENT_KIND and edit.spec is not None:
            yield edit.name, bool(cbor2.loads(edit.spec))
