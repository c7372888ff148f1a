"""Streams that callers take up, and the versions that they go on at."""

import collections.abc
import datetime

import attrs

from chivepier.gateway.eventlog import EventLog
from chivepier.gateway.metrics import Metrics
from chivepier.gateway.origins import Origin
from chivepier.gateway.origins import OriginKey
from chivepier.gateway.origins import OriginTable
from chivepier.gateway.serving.errors import UnansweredError
from chivepier.gateway.serving.plan import Plan
from chivepier.gateway.serving.servingstate import ServingState
from chivepier.gateway.targets import TargetTable
from chivepier.types import Clock
from chivepier.types import ErrorKind
from chivepier.types import Failure
from chivepier.types import Ran
from chivepier.types import RequestError

# Seconds for which it is kept where a stream began: longer than streams last.
LIVE_SECONDS = 1200.0
# The same after its end: its caller may have lost the last events.
ENDED_SECONDS = 60.0
# Seconds after which a caller may come back to an entry that hears too few
# voters: the next beat may tell it what it lacks.
UNINFORMED_RETRY_SECONDS = 0.5
# Seconds within which a target that serves is announced: several heartbeats.
ANNOUNCEMENT_SECONDS = 5.0

Hold = collections.abc.Callable[..., collections.abc.Awaitable[None]]
Publish = collections.abc.Callable[[Origin, bool], None]
Ask = collections.abc.Callable[
    [OriginKey], collections.abc.Awaitable[Origin | None]
]
Confirm = collections.abc.Callable[[float], collections.abc.Awaitable[bool]]


async def _ask_nobody(key: OriginKey) -> Origin | None:
    return None


async def _hold_nothing(*keys: OriginKey) -> None:
    return


async def _confirm_all(seconds: float) -> bool:
    return True


class Continuations:
    """Finds the version at which a stream may go on.

    Targets do not check it: what another version adds does not fit to what a
    caller has. So a stream of an unknown version goes on nowhere, unless
    nothing but one version can have begun it.

    :param targets: the known targets and their versions
    :param state: the active configuration
    :param clock: source of monotonic time
    :param log: event log of this process
    :param metrics: counts streams that callers take up
    :ivar origins: where the streams of this entry began
    :ivar publish: tells others where a stream began, always or only while
        its service runs several versions
    :ivar hold: waits until others know where a stream began, for a moment
    :ivar ask: asks others where a stream began
    :ivar confirm: tells whether no version of a service can have been missed
        in the last so many seconds, after asking for news
    """

    def __init__(
        self,
        targets: TargetTable,
        state: ServingState,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ):
        self.origins = OriginTable()
        self.publish: Publish = lambda origin, always: None
        self.hold: Hold = _hold_nothing
        self.ask: Ask = _ask_nobody
        self.confirm: Confirm = _confirm_all
        self._targets = targets
        self._state = state
        self._clock = clock
        self._log = log
        self._metrics = metrics

    async def note_begun(self, plan: Plan, software_version: str) -> None:
        """Note that the caller of a stream is about to get its first event.

        :param plan: the plan of the request
        :param software_version: version of the target that wrote it
        """
        self._note(plan, software_version, LIVE_SECONDS)
        self._note_request(plan, software_version)
        await self.hold(_make_attempt_key(plan), _make_request_key(plan))

    def note_ended(self, plan: Plan, software_version: str) -> None:
        """Note that a stream has ended here, whole or not."""
        self._note(plan, software_version, ENDED_SECONDS)

    def _note(self, plan: Plan, software_version: str, seconds: float) -> None:
        until = self._clock.monotonic() + seconds
        self._put(plan, _make_attempt_key(plan), software_version, until)

    def _note_request(self, plan: Plan, software_version: str) -> None:
        """Note it for callers that do not name the attempt that began it.

        Others may send the same request: it is kept no longer than its caller
        waits, and two that begin at different versions have none.
        """
        request = plan.request
        until = max(request.deadline, request.arrived + plan.route.timeout)
        self._put(plan, _make_request_key(plan), software_version, until)

    def _put(
        self, plan: Plan, key: OriginKey, software_version: str, until: float
    ) -> None:
        if not plan.repeatable or not software_version:
            return
        now = self._clock.monotonic()
        service = plan.service.name
        origin = Origin(key, service, software_version, now, until)
        self.origins.put(origin, now)
        self.publish(origin, len(plan.route.pools) > 1)

    async def bind(self, plan: Plan) -> Plan:
        """Restrict a stream that a caller takes up to its version.

        :param plan: the plan of any request
        :returns: the plan of what may be sent
        :raises RequestError: if it may not go on; it has not run
        """
        request = plan.request
        if not plan.route.streaming or not request.takes_up:
            return plan
        if plan.software_version is not None:
            return plan
        origin, source = await self._find(plan)
        version = origin.software_version if origin else ""
        self._metrics.record_take_up(source)
        write = self._log.info if version else self._log.warn
        write(
            "stream_taken_up",
            id=request.id,
            resumes=request.resumes,
            after=request.last_event,
            software=version,
            source=source,
            known=self._list_builds(plan),
            age_ms=(
                round(1000 * (self._clock.monotonic() - origin.noted_at))
                if origin
                else None
            ),
        )
        if not version:
            raise _make_error(source)
        return attrs.evolve(
            plan,
            service=self._find_service(plan, origin),
            software_version=version,
        )

    async def find_version(self, plan: Plan) -> str:
        """Return the version that began a stream, empty if not known.

        :param plan: the plan of a request whose caller has events of it
        """
        origin, _ = await self._find(plan)
        return origin.software_version if origin else ""

    async def _find(self, plan: Plan) -> tuple[Origin | None, str]:
        """Return where a stream began, and who says so."""
        now = self._clock.monotonic()
        key = _make_key(plan)
        origin = self.origins.find(key, now)
        if origin is not None:
            return origin, "own"
        # before the versions of now: those of a stream may be gone for long
        try:
            origin = await self.ask(key)
        except UnansweredError:
            return None, "unheard"
        if origin is not None:
            return origin, "told"
        if len(self._list_builds(plan)) > 1:
            return None, "unknown"
        span = _measure_span(plan)
        if not await self.confirm(span):
            return None, "unheard"
        builds = self._list_builds(plan)
        if len(builds) == 1:
            ((service, version),) = builds
            return Origin(key, service, version, now, now), "only"
        return None, "unknown"

    def _list_builds(self, plan: Plan) -> list[tuple[str, str]]:
        """Return the services and versions that may have begun a stream.

        A route may draw another of its services for each attempt.
        """
        since = self._clock.monotonic() - _measure_span(plan)
        return sorted(
            (service, version)
            for service in {name for name, _ in plan.route.pools}
            for version in self._targets.list_versions_since(service, since)
        )

    def _find_service(self, plan: Plan, origin: Origin):
        """Return the service that began a stream, if its route still has it.

        A route may draw another of its services for each attempt.
        """
        index = self._state.index
        names = {name for name, _ in plan.route.pools}
        if index is None or origin.service not in names:
            return plan.service
        return index.services.get(origin.service, plan.service)


def _measure_span(plan: Plan) -> float:
    """Return for how many seconds what began a stream may be gone.

    Its caller has waited for no longer than the route lets it.
    """
    return plan.route.timeout + ANNOUNCEMENT_SECONDS


def _make_error(source: str) -> RequestError:
    text = "the version that began this stream is not known"
    pause = None
    if source == "unheard":
        pause = datetime.timedelta(seconds=UNINFORMED_RETRY_SECONDS)
    failure = Failure(ErrorKind.NO_TARGET, text, Ran.NO, pause)
    return RequestError(failure)


def _make_key(plan: Plan) -> OriginKey:
    """Return what identifies the stream that a caller has events of."""
    request = plan.request
    if request.takes_up and not request.resumes:
        return _make_request_key(plan)
    return _make_attempt_key(plan)


def _make_attempt_key(plan: Plan) -> OriginKey:
    request = plan.request
    attempt = request.resumes if request.takes_up else None
    return OriginKey(plan.team or "", attempt or request.id)


def _make_request_key(plan: Plan) -> OriginKey:
    # no header, and so no attempt's id, holds the end of a line
    return OriginKey(plan.team or "", f"\n{plan.digest}")
