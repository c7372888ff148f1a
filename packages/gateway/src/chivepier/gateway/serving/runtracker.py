"""Counting the generations that are relayed."""

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import LoadBoard
from chivepier.gateway.targets import ReadingPace
from chivepier.gateway.targets import SOON_TOKENS
from chivepier.gateway.targets import StepPace
from chivepier.gateway.targets import Target
from chivepier.types import Clock


class RunTracker:
    """Keeps the loads that entries share, and tells the mover what runs.

    :param board: loads by target
    :param mover: moves generations off targets that leave
    :param pace: learns how fast prompts are read
    :param clock: monotonic time
    """

    def __init__(
        self,
        board: LoadBoard,
        mover: Mover,
        pace: ReadingPace,
        clock: Clock,
    ):
        self._reading_pace = pace
        self._step_pace = StepPace()
        self._board = board
        self._mover = mover
        self._clock = clock

    def start(self, plan: Plan, target: Target) -> LiveRun:
        """Begin to watch a request that is sent to a target.

        :param plan: the request's
        :param target: where it is sent
        :returns: the run, which :meth:`unwatch` ends
        """
        demand = plan.demand or Demand(prompt=0, output=0)
        now = self._clock.monotonic()
        load = self._board.total(target.instance, now)
        run = LiveRun(
            plan,
            target,
            demand.soon,
            prefill_tokens=demand.prompt,
            prefill_backlog=load.reading + demand.prompt,
            sent_at=now,
            heard_at=now,
            movable=not plan.repeatable,
        )
        self.track(run)
        return run

    def track(self, run: LiveRun) -> None:
        """Count a generation at its target and watch that."""
        self._count(run, 1)
        self._mover.add(run)

    def untrack(self, run: LiveRun) -> None:
        """Take a generation off its target."""
        self._count(run, -1)
        self._mover.remove(run)

    def abandon(self, run: LiveRun) -> None:
        """Take off a generation that goes on nowhere.

        A move of it would else ask its source until the process ends: one
        that broke off before its first event looks as if it waited still.
        """
        self.untrack(run)
        run.ended = True
        run.lost.set()

    def note_first_event(self, run: LiveRun) -> None:
        """Note that its first event came from this target."""
        if run.first_event_at is None:
            run.first_event_at = self._clock.monotonic()
            if run.prefill_tokens:
                seconds = run.first_event_at - run.sent_at
                self._reading_pace.note(
                    run.service.name, run.prefill_backlog, seconds
                )
            self._board.change(
                run.target.instance, reading=-run.prefill_tokens
            )

    def estimate_seconds(self, plan: Plan) -> float:
        """Return how long a generation lasts at most, in seconds.

        :param plan: the request's; what asks for no generation takes no time
        """
        prompt = plan.request.prompt
        if prompt is None:
            return 0.0
        service = plan.service.name
        reading = self._reading_pace.estimate(service, prompt.tokens)
        return reading + self._step_pace.estimate(service, prompt.most_output)

    def note_complete(self, run: LiveRun) -> None:
        """Learn from a generation that came to its end at one target."""
        engine = run.service.engine
        if (
            engine is not None
            and run.first_event_at is not None
            and not run.moved
        ):
            tokens = run.last_event_number * engine.event_tokens
            seconds = self._clock.monotonic() - run.first_event_at
            self._step_pace.note(run.service.name, tokens, seconds)

    def note_growth(self, run: LiveRun) -> None:
        """Count what a generation takes, once it has grown by some."""
        run.heard_at = self._clock.monotonic()
        if run.held_tokens + SOON_TOKENS // 2 <= run.counted_tokens:
            return
        grown = run.held_tokens + SOON_TOKENS - run.counted_tokens
        run.counted_tokens += grown
        self._board.change(run.target.instance, tokens=grown)

    def _count(self, run: LiveRun, sign: int) -> None:
        waits = run.first_event_at is None
        self._board.change(
            run.target.instance,
            runs=sign,
            tokens=sign * run.counted_tokens,
            reading=sign * run.prefill_tokens if waits else 0,
        )
