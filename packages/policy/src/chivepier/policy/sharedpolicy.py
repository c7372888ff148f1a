"""The product's policy: admission, sharing and placement together."""

import itertools
import math

from chivepier.messages import PermitOutcome
from chivepier.policy.ask import Ask
from chivepier.policy.classqueue import ClassQueue
from chivepier.policy.decisions import Decision
from chivepier.policy.flight import Flight
from chivepier.policy.flight import limit_chances
from chivepier.policy.grant import Grant
from chivepier.policy.held import Held
from chivepier.policy.leastinflight import serves
from chivepier.policy.lengthestimator import LengthEstimator
from chivepier.policy.lengthprofile import LengthProfile
from chivepier.policy.lengths import Lengths
from chivepier.policy.limits import Limits
from chivepier.policy.placement import Place
from chivepier.policy.placement import Placement
from chivepier.policy.policy import Policy
from chivepier.policy.prefixindex import PREFIX_BLOCK_TOKENS
from chivepier.policy.refusal import Refusal
from chivepier.policy.refusing import Refusing
from chivepier.policy.sharing import Sharing
from chivepier.policy.stopping import find_stops
from chivepier.policy.stopping import LOOK_AHEAD
from chivepier.policy.targetstate import TargetState
from chivepier.policy.targetview import TargetView
from chivepier.policy.teamqueue import TeamQueue
from chivepier.types import Clock
from chivepier.types import ErrorKind

TRIM_SECONDS = 0.1
SUSPECT_SECONDS = 2.0
SUSPECT_FAILURES = 2
NO_TARGET_SECONDS = 2.0
RESERVE_SECONDS = 0.25
STOPPED_SECONDS = 2.0
CACHED_PART = 0.3


class SharedPolicy(Policy):
    """Decides from its own exact record of what is in flight.

    Reports of targets lag and get lost; they only adjust bounds.  A request
    is granted when its target's memory will do for all streams there, with
    a chance that adapts to preemptions seen; teams are served by weighted
    fair queueing; what would wait too long is refused at once.
    """

    def __init__(
        self,
        clock: Clock,
        permits=None,
        lengths: Lengths | None = None,
        limits: Limits | None = None,
    ):
        self._clock = clock
        self._permits = permits or itertools.count(1)
        self._lengths = lengths or LengthEstimator()
        self._limits = limits or Limits()
        self._states: dict[str, TargetState] = {}
        self._flights: dict[int, Flight] = {}
        self._sharing = Sharing()
        self._refusing = Refusing(self._sharing, self._limits)
        self._placement = Placement(self._limits)
        self._refusals: list[Refusal] = []
        self._trimmed = -math.inf
        self._reserved: TargetState | None = None
        # nothing of this many prompt tokens fits until something ends
        self._room = math.inf
        self._changed = False
        self._least_capacity = 0

    def set_target(self, view: TargetView) -> None:
        """Add a target, or replace what is known of it."""
        state = self._states.get(view.target)
        if state is None:
            self._states[view.target] = TargetState(view)
        else:
            state.gone = False
            state.update(view)
        self._room = math.inf
        self._changed = True
        self._least_capacity = min(
            state.view.capacity_tokens for state in self._states.values()
        )
        index = self._placement.index
        blocks = view.capacity_tokens // PREFIX_BLOCK_TOKENS
        index.resize(view.target, blocks)
        if view.cached:
            index.confirm(view.target, view.cached)

    def remove_target(self, target: str) -> None:
        """Forget a target; what it ran stays held until released."""
        state = self._states.get(target)
        if state is None:
            return
        self._placement.index.forget(target)
        self._changed = True
        state.gone = True
        if not state.flights:
            del self._states[target]

    def submit(self, ask: Ask) -> None:
        """Queue a request, or refuse it at once."""
        if ask.request in self._sharing.waiting:
            return
        now = self._clock.monotonic()
        refusal = self._check_targets(ask) or self._refusing.check(ask, now)
        if refusal is not None:
            self._refusals.append(refusal)
            return
        self._sharing.push(ask, now)
        if (
            ask.prompt_tokens + self._spare(self._sharing.find(ask))
            < self._room
        ):
            self._room = math.inf
        if len(self._sharing.waiting) > ask.queue_limit:
            self._refuse_longest(now)

    def _check_targets(self, ask: Ask) -> Refusal | None:
        found = False
        for state in self._states.values():
            view = state.view
            if state.gone or not serves(view, ask):
                continue
            if ask.prompt_tokens < (view.capacity_tokens or math.inf):
                return None
            found = True
        if not found:
            text = f"no target serves {ask.model or ask.template}"
            kind = ErrorKind.NO_TARGET
            return Refusal(ask.request, kind, text, NO_TARGET_SECONDS)
        text = "the prompt is larger than any target's memory"
        return Refusal(ask.request, ErrorKind.TOO_LARGE, text, 0.0)

    def _refuse_longest(self, now: float) -> None:
        team = max(
            self._sharing.queued.values(),
            key=lambda team: team.waiting / team.weight,
        )
        ask = team.classes[team.order()[-1]].tail()
        self._sharing.remove(ask, now)
        text = "the queue is full"
        self._refusals.append(self._refusing.refuse(ask, team, text, now))

    def cancel(self, request: str) -> None:
        """Drop a waiting request whose caller left."""
        ask = self._sharing.waiting.get(request)
        if ask is not None:
            self._sharing.remove(ask, self._clock.monotonic())

    def adopt(self, held: Held) -> None:
        """Count a request that an earlier owner had admitted."""
        if held.permit in self._flights:
            return
        if held.target not in self._states:
            view = TargetView(target=held.target, address="", leaving=True)
            state = self._states[held.target] = TargetState(view)
            state.gone = True
        profile = self._lengths.profile(held.ask)
        self._fly(Flight(held, profile, held.ask.prompt_tokens))

    def _fly(self, flight: Flight) -> None:
        held = flight.held
        self._flights[held.permit] = flight
        self._states[held.target].add(flight)
        expected = min(flight.profile.expect(0), held.ask.max_tokens)
        flight.size = held.ask.prompt_tokens + expected
        self._sharing.hold(held.ask, flight.size)

    def progress(self, permit: int, tokens: int) -> None:
        """Note the tokens a request has delivered so far, in all."""
        flight = self._flights.get(permit)
        if flight is None or tokens <= flight.held.tokens:
            return
        state = self._states[flight.held.target]
        counted = flight.counted
        if state.advance(flight, tokens):
            self._recount(flight, state, counted)

    def _recount(
        self, flight: Flight, state: TargetState, counted: int
    ) -> None:
        tokens = flight.counted
        ask = flight.held.ask
        now = self._clock.monotonic()
        if counted:
            interval = (now - flight.seen) / (tokens - counted)
            state.pace.see(interval, state.streams, now)
        flight.seen = now
        self._lengths.advance(ask, counted, tokens)
        if tokens > flight.charged:
            self._sharing.find(ask).charge(tokens - flight.charged)
            flight.charged = tokens

    def release(
        self, permit: int, tokens: int, outcome: PermitOutcome
    ) -> None:
        """Note a permit's end; an unknown permit is no error."""
        flight = self._flights.pop(permit, None)
        if flight is None:
            return
        held = flight.held
        ask = held.ask
        state = self._states[held.target]
        state.remove(flight)
        self._room = math.inf
        self._sharing.drop(ask, flight.size)
        if tokens > flight.counted:
            self._lengths.advance(ask, flight.counted, tokens)
        match outcome:
            case PermitOutcome.FINISHED if tokens < ask.max_tokens:
                self._lengths.finish(ask, tokens)
                state.failures = 0
            case PermitOutcome.TARGET_FAILED:
                self._suspect(state)
        team = self._sharing.find(ask)
        team.charge(tokens - flight.charged)
        if team.waiting:
            self._sharing.requeue(team)
        if state.gone and not state.flights:
            del self._states[held.target]

    def _suspect(self, state: TargetState) -> None:
        state.failures += 1
        if state.failures >= SUSPECT_FAILURES:
            now = self._clock.monotonic()
            state.suspect_until = now + SUSPECT_SECONDS

    def decide(self) -> list[Decision]:
        """Return what is decided now."""
        now = self._clock.monotonic()
        decisions: list[Decision] = []
        if now - self._trimmed >= TRIM_SECONDS:
            self._trimmed = now
            self._refusals += self._refusing.trim(now)
            self._sharing.measure()
            for state in self._states.values():
                state.refused_size = math.inf
            self._room = math.inf
            if self._limits.stop_early:
                decisions += self._stop_early(now)
        if self._changed:
            self._changed = False
            self._refusals += self._refuse_lost(now)
        if self._sharing.waiting and self._room == math.inf:
            decisions += self._grant_all(now)
        decisions += self._refusals
        self._refusals = []
        return decisions

    def _stop_early(self, now: float) -> list[Decision]:
        stops: list[Decision] = []
        for state in self._states.values():
            if not state.gone and state.find_excess(LOOK_AHEAD) > 0:
                stops += find_stops(state, now, STOPPED_SECONDS)
        return stops

    def _refuse_lost(self, now: float) -> list[Refusal]:
        # the last target that served a model may leave while some wait
        if not self._sharing.waiting:
            return []
        found = []
        for ask in list(self._sharing.waiting.values()):
            refusal = self._check_targets(ask)
            if refusal is not None:
                self._sharing.remove(ask, now)
                found.append(refusal)
        return found

    def _grant_all(self, now: float) -> list[Decision]:
        grants: list[Decision] = []
        states = [s for s in self._states.values() if s.is_open(now)]
        blocked: list[TeamQueue] = []
        self._check_reservation()
        while len(blocked) < self._limits.heads:
            team = self._sharing.pop()
            if team is None:
                break
            if blocked and self._is_ahead(team, blocked[0]):
                blocked.append(team)
                break
            grant = self._grant_team(team, states, now, not blocked)
            if grant is None:
                blocked.append(team)
                continue
            grants.append(grant)
            if not self._states[grant.target].is_open(now):
                states.remove(self._states[grant.target])
            self._sharing.give_back(team)
        for team in blocked:
            self._sharing.give_back(team)
        self._room = _find_room(states)
        return grants

    def _is_ahead(self, team: TeamQueue, first: TeamQueue) -> bool:
        # small requests that fit would else take the share of a team whose
        # large ones have to wait for room
        return team.spent > first.spent + self._limits.lead_tokens

    def _grant_team(
        self, team: TeamQueue, states: list, now: float, first: bool
    ) -> Grant | None:
        for urgency in team.order():
            queue = team.classes[urgency]
            found = self._find_place(team, queue, states)
            if found is not None:
                return self._grant(*found, now)
            if first:
                self._reserve(queue.head(), now)
                first = False
        return None

    def _spare(self, team: TeamQueue) -> float:
        spare = self._limits.lend_spare * self._sharing.lean(team)
        return spare * self._least_capacity

    def _find_place(
        self, team: TeamQueue, queue: ClassQueue, states: list
    ) -> tuple[Ask, Place, LengthProfile] | None:
        # among the first few the one whose prompt is cached where there is
        # room; a cached head is taken at once
        lean = self._sharing.lean(team)
        spare = self._spare(team)
        best = None
        room = _find_room(states)
        for ask in itertools.islice(queue.values(), self._limits.scan):
            if ask.prompt_tokens + spare >= room:
                continue
            profile = self._lengths.profile(ask)
            chances = limit_chances(profile.survive(0), ask.max_tokens)
            place = self._placement.choose(ask, chances, lean, states)
            if place is None:
                room = _find_room(states)
                continue
            if best is None or place.score < best[1].score:
                best = ask, place, profile
            if place.uncached <= CACHED_PART * ask.prompt_tokens:
                break
        return best

    def _grant(self, ask: Ask, place: Place, profile, now: float) -> Grant:
        expected = min(profile.expect(0), ask.max_tokens)
        expected = min(expected, self._limits.ahead_tokens)
        self._sharing.grant(ask, expected, now)
        target = place.state.view.target
        permit = next(self._permits)
        held = Held(permit=permit, ask=ask, target=target, granted=now)
        flight = Flight(held, profile, place.prompt)
        flight.uncached = place.uncached
        flight.charged = expected
        self._fly(flight)
        self._placement.index.insert(target, ask.prefix)
        return Grant(ask.request, permit, target)

    def _check_reservation(self) -> None:
        state = self._reserved
        if state is None:
            return
        gone = state.reserved_for not in self._sharing.waiting
        if gone or state.gone or state.view.leaving:
            state.reserved_for = ""
            self._reserved = None

    def _reserve(self, ask: Ask, now: float) -> None:
        # small requests would else take each gap before it suits a large one
        if self._reserved is not None or now - ask.arrived < RESERVE_SECONDS:
            return
        able = [
            state
            for state in self._states.values()
            if not state.gone and serves(state.view, ask)
        ]
        if able:
            self._reserved = min(able, key=lambda state: state.used)
            self._reserved.reserved_for = ask.request


def _find_room(states: list[TargetState]) -> float:
    room = 0.0
    for state in states:
        if state.refused_size > room:
            room = state.refused_size
    return room
