"""Running a request under the claim of its key."""

import collections.abc

from aiohttp import web

from chivepier.messages import ClaimState
from chivepier.messages import Outcome
from chivepier.node.entry import Entry
from chivepier.node.ledger import RELEASED
from chivepier.node.ledger import Ticket
from chivepier.node.ledger import UNKNOWN
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

REPLAYED = {"Idempotency-Replayed": "true"}
NOT_KEPT = Outcome(ClaimState.DONE, 0, (), b"")


async def run_claimed(
    entry: Entry,
    team: str,
    key: str,
    digest: bytes,
    run: collections.abc.Callable[[], collections.abc.Awaitable[Outcome]],
) -> web.Response:
    """Run a request unless its key was claimed before.

    It goes to its end also when the caller leaves: the outcome is what a
    resend will ask for.

    :param entry: the node's parts
    :param team: the caller's team
    :param key: the caller's key
    :param digest: of the request
    :param run: dispatches the request
    :returns: its answer, or the stored one, marked as replayed
    :raises RequestError: when there is none
    """
    request = entry.permits.name_request()
    claimed = await entry.ledger.claim(team, key, request, digest)
    if isinstance(claimed, Outcome):
        entry.metrics.replays.inc()
        return render_outcome(claimed, REPLAYED)
    work = _run_once(entry, claimed, run)
    return render_outcome(await entry.background.finish(work, alone=True))


async def _run_once(entry: Entry, ticket: Ticket, run) -> Outcome:
    outcome = UNKNOWN
    try:
        outcome = await run()
    except RequestError as error:
        outcome = choose_ending(error.failure)
        raise
    finally:
        await entry.ledger.settle(ticket, outcome)
    return outcome


def choose_ending(failure: Failure) -> Outcome:
    """Choose what is stored for a request that failed.

    :param failure: with what is known of its execution
    :returns: released only where it is proven that it did not run
    """
    match failure.ran:
        case Ran.NO:
            return RELEASED
        case Ran.YES:
            return NOT_KEPT
        case _:
            return UNKNOWN


def render_outcome(
    outcome: Outcome, more: collections.abc.Mapping[str, str] = {}
) -> web.Response:
    """Build the answer to the caller.

    :param outcome: status, headers and body
    :param more: headers that are added
    :returns: the response
    """
    response = web.Response(status=outcome.status, body=outcome.body)
    response.headers.popall("Content-Type", None)
    for name, value in outcome.headers:
        response.headers.add(name, value)
    response.headers.update(more)
    return response
