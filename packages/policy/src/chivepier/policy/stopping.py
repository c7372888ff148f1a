"""Ending a stream early, before the engine pushes one off."""

from chivepier.policy.flight import Flight
from chivepier.policy.flight import SLACK_TOKENS
from chivepier.policy.stop import Stop
from chivepier.policy.targetstate import TargetState
from chivepier.types import Urgency

LOOK_AHEAD = 0.15
MOST_DELIVERED = 64


def find_stops(
    state: TargetState, now: float, retry_after: float
) -> list[Stop]:
    """Choose streams to end where memory is about to run out.

    Only batch streams that have delivered little are ended: what they lose
    is less than what a push-off costs, which computes the prompt and all
    output again while every other stream at the target waits for it.

    :param state: the target
    :param now: the time, in seconds
    :param retry_after: when to come back, in seconds
    :returns: the orders; none where nothing harmless would do
    """
    excess = state.find_excess(LOOK_AHEAD)
    # those that were told to end hold their memory until they have
    excess -= sum(_freed(f) for f in state.flights.values() if f.stopped)
    if excess <= 0:
        return []
    stops = []
    for flight in sorted(
        filter(_is_harmless, state.flights.values()), key=_harm
    ):
        if excess <= 0:
            break
        flight.stopped = True
        excess -= _freed(flight)
        stops.append(Stop(flight.held.permit, retry_after))
    return stops


def _freed(flight: Flight) -> int:
    return flight.prompt - SLACK_TOKENS + flight.held.tokens


def _is_harmless(flight: Flight) -> bool:
    if flight.stopped or flight.held.ask.urgency != Urgency.BATCH:
        return False
    return flight.held.tokens <= MOST_DELIVERED


def _harm(flight: Flight) -> tuple[int, int]:
    return flight.held.tokens, flight.held.permit
