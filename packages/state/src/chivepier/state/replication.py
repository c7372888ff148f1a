"""A leader's task for one peer."""

import typing

import logbook

from chivepier.messages import AppendRequest
from chivepier.messages import Entry
from chivepier.messages import SnapshotRequest
from chivepier.messages import Voter
from chivepier.state.core import Core
from chivepier.state.storagefailederror import StorageFailedError
from chivepier.wire import LinkError

if typing.TYPE_CHECKING:
    from chivepier.state.tenure import Tenure

log = logbook.Logger("state")

BATCH = 512
BATCH_BYTES = 1 << 20
CHUNK = 1 << 20


class Replication:
    """Brings one peer's log up to the leader's and keeps it there.

    One request is under way at a time; all that was written meanwhile goes
    with the next one.
    """

    def __init__(self, core: Core, tenure: "Tenure", peer: Voter):
        self._core = core
        self._tenure = tenure
        self._peer = peer
        self._following = core.storage.last_index + 1
        self._told = 0
        self._silent_since: float | None = None

    async def run(self) -> None:
        """Replicate until the lead or the peer's seat is lost."""
        core, tenure = self._core, self._tenure
        while tenure.current:
            try:
                await self._push()
            except LinkError as error:
                self._note_silence(error)
                await core.clock.sleep(core.timing.heartbeat)
                continue
            except StorageFailedError:
                # the lead ended with it
                return
            if self._following > tenure.synced and self._told >= core.commit:
                await tenure.grown.wait()

    def _note_silence(self, error: LinkError) -> None:
        if self._silent_since is None:
            self._silent_since = self._core.clock.monotonic()
            log.info(
                "voter silent node={} error={}", self._peer.node, str(error)
            )

    def _note_answer(self) -> None:
        since, self._silent_since = self._silent_since, None
        if since is not None:
            seconds = self._core.clock.monotonic() - since
            log.info(
                "voter answers node={} after={:.2f}", self._peer.node, seconds
            )

    async def _push(self) -> None:
        if self._following < self._core.storage.first_index:
            await self._push_snapshot()
        else:
            await self._push_entries()

    async def _push_entries(self) -> None:
        core, storage = self._core, self._core.storage
        previous = self._following - 1
        entries = self._choose(previous)
        request = AppendRequest(
            self._tenure.term,
            core.node,
            previous,
            storage.term_at(previous) or 0,
            entries,
            core.commit,
            core.cluster,
            self._peer.node,
            self._tenure.holds_lease(),
        )
        answer = await self._ask(request)
        if answer is None:
            return
        if not answer.success:
            back = min(previous, answer.last_index + 1)
            self._following = max(1, back)
            return
        matched = previous + len(entries)
        self._following = matched + 1
        self._told = request.commit
        self._tenure.note_match(self._peer.node, matched)

    def _choose(self, previous: int) -> tuple[Entry, ...]:
        # by bytes too: a frame that the peer refuses would be sent for ever
        count = max(0, min(BATCH, self._tenure.synced - previous))
        chosen: list[Entry] = []
        size = 0
        for entry in self._core.storage.read(previous + 1, count):
            size += len(entry.command)
            if chosen and size > BATCH_BYTES:
                break
            chosen.append(entry)
        return tuple(chosen)

    async def _push_snapshot(self) -> None:
        core, snapshot = self._core, self._core.storage.snapshot
        # after a lost answer the next probe tells whether it was installed
        self._following = snapshot.index + 1
        offset = 0
        while True:
            data = snapshot.data[offset : offset + CHUNK]
            request = SnapshotRequest(
                self._tenure.term,
                core.node,
                snapshot.index,
                snapshot.term,
                offset,
                data,
                offset + len(data) >= len(snapshot.data),
                core.cluster,
                self._peer.node,
            )
            answer = await self._ask(request)
            if answer is None or answer.offset >= len(snapshot.data):
                return
            offset = answer.offset

    async def _ask(self, request):
        core, tenure = self._core, self._tenure
        sent = core.clock.monotonic()
        answer = await core.ask(self._peer.address, request)
        self._note_answer()
        if answer.term > tenure.term:
            await core.adopt_term(answer.term)
            return None
        if not tenure.current:
            return None
        tenure.acked[self._peer.node] = sent
        return answer
