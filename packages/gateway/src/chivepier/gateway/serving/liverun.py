"""A generation that is being relayed."""

import asyncio

import attrs

from chivepier.gateway.config import Service
from chivepier.gateway.serving.callerrequest import CallerRequest
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.targets import Target


@attrs.define(eq=False)
class LiveRun:
    """Where a generation runs, and where it goes on when it must leave.

    :param request: the caller's
    :param service: whose targets may run it
    :param target: where it runs
    :param tokens: memory it is expected to take in the end
    :param number: of the last event that the caller has
    :param began: when its first event came from this target, in monotonic
        seconds; ``None`` until then
    :param handoff: set while its memory is being moved elsewhere
    :param stopped: whether its target was told to stop it for a move
    :param ended: whether nothing is relayed any more
    :param backup: the target that keeps a growing copy of its memory
    """

    request: CallerRequest
    service: Service
    target: Target
    tokens: int
    number: int = 0
    began: float | None = None
    handoff: asyncio.Future[Handoff | None] | None = None
    stopped: bool = False
    ended: bool = False
    backup: Target | None = None
    _reading: asyncio.Timeout | None = None
    _interrupted: bool = False

    def read_within(self, seconds: float | None) -> asyncio.Timeout:
        """Bound one read of the stream, which :meth:`interrupt` ends too.

        Only reads are bounded: an event that was counted but not yet
        written would be lost if its write were ended.

        :param seconds: to wait for the next bytes; ``None``: for ever
        :returns: the context manager around the read
        """
        scope = asyncio.timeout(0 if self._interrupted else seconds)
        self._reading = scope
        return scope

    def end_read(self) -> None:
        """Note that no read is under way."""
        self._reading = None

    def interrupt(self) -> None:
        """Stop reading from the target: the generation goes on elsewhere."""
        self._interrupted = True
        if self._reading is not None and not self._reading.expired():
            self._reading.reschedule(asyncio.get_running_loop().time())

    def go_on(self, target: Target) -> None:
        """Note that it goes on at another target."""
        self.target = target
        self.began = None
        self.handoff = None
        self.stopped = False
        self.backup = None
        self._interrupted = False
