"""Counting the generations that are relayed."""

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.targets import DecodeEstimator
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import NEAR_TERM_OUTPUT_TOKENS
from chivepier.gateway.targets import PrefillEstimator
from chivepier.gateway.targets import Target
from chivepier.types import Clock


class RunWatch:
    """Keeps the loads that entries share, and tells the mover what runs.

    :param board: loads by target
    :param mover: moves generations off targets that leave
    :param pace: learns how fast prompts are read
    :param clock: monotonic time
    """

    def __init__(
        self,
        board: LoadTracker,
        mover: Mover,
        pace: PrefillEstimator,
        clock: Clock,
    ):
        self._pace = pace
        self._steps = DecodeEstimator()
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
        load = self._board.get_total(target.instance, now)
        run = LiveRun(
            plan,
            target,
            demand.near_term_tokens,
            reading=demand.prompt,
            ahead=load.reading + demand.prompt,
            sent=now,
            heard=now,
            moves=not plan.repeatable,
        )
        self.watch(run)
        return run

    def watch(self, run: LiveRun) -> None:
        """Count a generation at its target and watch that."""
        self._count(run, 1)
        self._mover.add(run)

    def unwatch(self, run: LiveRun) -> None:
        """Take a generation off its target."""
        self._count(run, -1)
        self._mover.remove(run)

    def give_up(self, run: LiveRun) -> None:
        """Take off a generation that goes on nowhere.

        A move of it would else ask its source until the process ends: one
        that broke off before its first event looks as if it waited still.
        """
        self.unwatch(run)
        run.ended = True
        run.lost.set()

    def note_begun(self, run: LiveRun) -> None:
        """Note that its first event came from this target."""
        if run.began is None:
            run.began = self._clock.monotonic()
            if run.reading:
                seconds = run.began - run.sent
                self._pace.record(run.service.name, run.ahead, seconds)
            self._board.adjust_own(run.target.instance, reading=-run.reading)

    def estimate(self, plan: Plan) -> float:
        """Return how long a generation lasts at most, in seconds.

        :param plan: the request's; what asks for no generation takes no time
        """
        prompt = plan.request.prompt
        if prompt is None:
            return 0.0
        service = plan.service.name
        reading = self._pace.estimate(service, prompt.tokens)
        return reading + self._steps.estimate(service, prompt.max_output)

    def note_whole(self, run: LiveRun) -> None:
        """Learn from a generation that came to its end at one target."""
        engine = run.service.engine
        if engine is not None and run.began is not None and not run.moved:
            tokens = run.number * engine.event_tokens
            seconds = self._clock.monotonic() - run.began
            self._steps.record(run.service.name, tokens, seconds)

    def note_growth(self, run: LiveRun) -> None:
        """Count what a generation takes, once it has grown by some."""
        run.heard = self._clock.monotonic()
        if run.held + NEAR_TERM_OUTPUT_TOKENS // 2 <= run.counted:
            return
        grown = run.held + NEAR_TERM_OUTPUT_TOKENS - run.counted
        run.counted += grown
        self._board.adjust_own(run.target.instance, tokens=grown)

    def _count(self, run: LiveRun, sign: int) -> None:
        waits = run.began is None
        self._board.adjust_own(
            run.target.instance,
            runs=sign,
            tokens=sign * run.counted,
            reading=sign * run.reading if waits else 0,
        )
