"""Tracks the generations that this entry relays."""

from chivepier.gateway.serving.liverun import LiveRun
from chivepier.gateway.serving.mover import Mover
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.responsetimes import ResponseTimes
from chivepier.gateway.targets import Demand
from chivepier.gateway.targets import HoldEstimator
from chivepier.gateway.targets import LoadBalancer
from chivepier.gateway.targets import LoadTracker
from chivepier.gateway.targets import NEAR_TERM_OUTPUT_TOKENS
from chivepier.gateway.targets import QueueTracker
from chivepier.gateway.targets import Target
from chivepier.types import Clock


class RunTracker:
    """Updates the load of targets and registers generations for migration.

    :param loads: load of each target
    :param mover: migrates generations off targets that leave
    :param balancer: has the estimators of reading and decoding, and paces
    :param clock: monotonic clock
    :param queues: gets the room that each class holds
    :ivar holds: how long generations hold their room
    """

    def __init__(
        self,
        loads: LoadTracker,
        mover: Mover,
        balancer: LoadBalancer,
        clock: Clock,
        queues: QueueTracker,
    ):
        self.holds = HoldEstimator()
        self._times = ResponseTimes()
        self._queues = queues
        self._balancer = balancer
        self._prefill_estimator = balancer.prefill_estimator
        self._decode_estimator = balancer.decode_estimator
        self._loads = loads
        self._mover = mover
        self._clock = clock

    def start(self, plan: Plan, target: Target) -> LiveRun:
        """Start tracking a request that is sent to a target.

        :param plan: the plan of the request
        :param target: the target that it is sent to
        :returns: the run, to be passed to :meth:`untrack`
        """
        demand = plan.demand or Demand(prompt=0, output=0)
        now = self._clock.monotonic()
        load = self._loads.get_total(target.instance, now)
        run = LiveRun(
            plan,
            target,
            demand.near_term_tokens,
            prefill_tokens=demand.prompt,
            prefill_backlog=load.reading + demand.prompt,
            sent_at=now,
            heard_at=now,
            movable=not plan.repeatable,
        )
        self.track(run)
        return run

    def track(self, run: LiveRun) -> None:
        """Add a generation to the load of its target and to the mover.

        Of one that another entry serves, that entry reports the load.
        """
        if run.forwarded:
            return
        self._count(run, 1)
        self._mover.add(run)

    def untrack(self, run: LiveRun) -> None:
        """Remove a generation from the load of its target and the mover."""
        if run.forwarded:
            return
        self._count(run, -1)
        self._mover.remove(run)
        if run.ended and run.first_event_at is not None and not run.moved:
            now = self._clock.monotonic()
            self.holds.record(
                run.service.name, run.counted_tokens, now - run.sent_at, now
            )

    def abandon(self, run: LiveRun) -> None:
        """Stop tracking a generation that is not resumed, and mark it ended.

        Otherwise a migration would ask its source until the process ends: a
        run that failed before its first event looks like one that waits.
        """
        self.untrack(run)
        run.ended = True
        run.lost.set()

    def note_first_event(self, run: LiveRun) -> None:
        """Record the time of the first event and end the prefill load."""
        if run.first_event_at is None and not run.forwarded:
            run.first_event_at = self._clock.monotonic()
            if run.prefill_tokens:
                seconds = run.first_event_at - run.sent_at
                self._prefill_estimator.record(
                    run.service.name,
                    run.prefill_backlog,
                    seconds,
                    self._get_pace(run),
                )
            self._loads.adjust_own(
                run.target.instance, reading=-run.prefill_tokens
            )

    def estimate_seconds(self, plan: Plan) -> float | None:
        """Return how long a request is expected to take at most, in seconds.

        That of a generation rests on its tokens, that of others on the latest
        answers of their route.

        :param plan: the plan of the request
        :returns: the time; ``None`` if nothing is known of it
        """
        prompt, service = plan.request.prompt, plan.service.name
        if prompt is None or plan.service.engine is None:
            seen = self._times.estimate(plan.route.name, service)
            if seen is not None or prompt is None:
                return seen
        # it may run at the slowest of them
        pace = self._balancer.survey_paces(service).highest
        reading = self._prefill_estimator.estimate(
            service, prompt.tokens, pace
        )
        return reading + self._decode_estimator.estimate(
            service, prompt.max_output, pace
        )

    def note_answer(self, plan: Plan, seconds: float) -> None:
        """Note how long an answer took that came whole from one target.

        :param plan: the plan of the request
        :param seconds: time from the send to its end
        """
        self._times.record(plan.route.name, plan.service.name, seconds)

    def note_complete(self, run: LiveRun) -> None:
        """Update the estimates of how long runs take from a complete one.

        Runs that were resumed at another target are left out, and so is the
        time in which it was asked whether the end is one.
        """
        if not run.moved and not run.request.takes_up:
            seconds = run.heard_at - run.sent_at
            self.note_answer(run.plan, seconds)
        engine = run.service.engine
        if (
            engine is not None
            and run.first_event_at is not None
            and not run.moved
        ):
            tokens = run.relayed_events * engine.event_tokens
            seconds = run.heard_at - run.first_event_at
            self._decode_estimator.record(
                run.service.name, tokens, seconds, self._get_pace(run)
            )

    def note_growth(self, run: LiveRun) -> None:
        """Report the growth of a generation's KV cache in larger steps."""
        run.heard_at = self._clock.monotonic()
        if run.forwarded:
            return
        if (
            run.held_tokens + NEAR_TERM_OUTPUT_TOKENS // 2
            <= run.counted_tokens
        ):
            return
        grown = run.held_tokens + NEAR_TERM_OUTPUT_TOKENS - run.counted_tokens
        run.counted_tokens += grown
        self._loads.adjust_own(run.target.instance, tokens=grown)
        self._adjust_held(run, 0, grown)

    def _get_pace(self, run: LiveRun) -> float:
        return self._balancer.pace_advisor.get_base_pace(run.target)

    def _count(self, run: LiveRun, sign: int) -> None:
        waits = run.first_event_at is None
        self._loads.adjust_own(
            run.target.instance,
            runs=sign,
            tokens=sign * run.counted_tokens,
            reading=sign * run.prefill_tokens if waits else 0,
        )
        self._adjust_held(run, sign, sign * run.counted_tokens)

    def _adjust_held(self, run: LiveRun, runs: int, tokens: int) -> None:
        if run.plan.demand is not None:
            self._queues.adjust_held(
                run.service.name,
                run.plan.urgency,
                runs,
                tokens,
                run.plan.team or "",
            )
