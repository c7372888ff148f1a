"""The one place that judges how a target's part of a stream has ended."""

import asyncio

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.serving.bodyend import BodyEnd
from chivepier.gateway.serving.endcause import EndCause
from chivepier.gateway.serving.endwitness import EndWitness
from chivepier.gateway.serving.handoff import Handoff
from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.streamend import judge_end
from chivepier.gateway.serving.streamend import StreamEnd

# Seconds to wait for the result of a migration after the source has ended the
# stream.
HANDOFF_WAIT_SECONDS = 4.5


class EndJudge:
    """Tells whether what a target sent of a stream is all of it.

    :param witness: asks a target whether it lived after an end
    :param mover: frees a copy that is not needed
    :param log: gets a line for each end that no framing told
    :param metrics: counts ends by cause and by what they were taken for
    """

    def __init__(
        self,
        witness: EndWitness,
        mover: Mover,
        log: EventLog,
        metrics: Metrics,
    ):
        self._witness = witness
        self._mover = mover
        self._log = log
        self._metrics = metrics

    async def is_whole(self, run: LiveRun, end: BodyEnd) -> bool:
        """Tell whether a stream is whole, asking its target where needed.

        :param run: the run whose target has ended its body
        :param end: how the body has ended
        """
        found = await self._judge(end, run)
        return found is StreamEnd.COMPLETE and await self._is_complete(
            run, end
        )

    async def _is_complete(self, run: LiveRun, end: BodyEnd) -> bool:
        # a stream that was stopped for a migration is incomplete, but looks
        # complete if its body is delimited by closing the connection
        if not run.stopped:
            return True
        run.lost.set()
        found = await wait_for_handoff(run)
        framed = end.cause is EndCause.FRAMING
        if run.stopped and not (run.stop_uncertain and framed):
            return False
        if found is not None:
            self._mover.free_copy(run, found)
        return True

    async def _judge(self, end: BodyEnd, run: LiveRun) -> StreamEnd:
        found, failed = judge_end(end), None
        if end.cause is EndCause.CLOSE and found is StreamEnd.COMPLETE:
            evidence = await self._witness.examine(run.target, run.request.id)
            # one that leaves may close what it has not begun to send, but not
            # the run that it had stopped and took back as it left
            begun = bool(end.events) or run.taken_back
            dropped = evidence.leaving and not begun
            failed = not evidence.is_vouched or dropped
        if failed:
            found = StreamEnd.TRUNCATED
        self._metrics.record_stream_end(end.cause.value, found.value)
        if end.cause is not EndCause.FRAMING or end.remainder:
            self._log.info(
                "body_ended",
                id=run.request.id,
                target=run.target.instance,
                cause=end.cause.value,
                events=end.events,
                left_over=len(end.remainder),
                target_failed=failed,
                taken_for=found.value,
            )
        return found


async def wait_for_handoff(run: LiveRun) -> Handoff | None:
    """Return where a run that is being moved goes on, once that is known.

    :param run: the run, whose move has begun
    :returns: ``None`` if it goes on nowhere, or that is not known in time
    """
    try:
        async with asyncio.timeout(HANDOFF_WAIT_SECONDS):
            return await asyncio.shield(run.handoff)
    except TimeoutError:
        return None
