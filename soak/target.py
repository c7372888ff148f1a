"""A target that announces itself and can inject faults."""

import asyncio
import collections.abc
import contextlib
import json
import random
import secrets
import time

import aiohttp
from aiohttp import web

from soak.answerfaults import AnswerFault
from soak.answerfaults import AnswerFaults
from soak.coldchecker import ColdChecker
from soak.events import EVENT_COUNT
from soak.events import EVENT_STREAM
from soak.events import make_event
from soak.framing import Framing
from soak.invariantchecker import InvariantChecker
from soak.invariantchecker import make_expected_body
from soak.kerneltimes import measure_arrival
from soak.loadreporter import LoadReporter
from soak.loadreporter import SLOTS
from soak.partchecker import PartChecker
from soak.proxy import Proxy
from soak.resterrors import RestErrors
from soak.runlog import RunLog
from soak.senders import Connection
from soak.senders import name_accepted
from soak.senders import Senders
from soak.signalchecker import SignalChecker
from soak.signature import sign

HEARTBEAT_SECONDS = 0.4
SERVICE_SECONDS = 0.02
HEALTH_PATH = "/health"
# Paths of the routes whose requests may run more than once.
REPEATABLE_PATHS = ("/again/", "/resume/")
STREAM_PATHS = ("/stream/", "/resume/")
RESUMABLE_PATH = "/resume/"
INITIAL_SEQUENCE = 10_000
# Range of the seconds for which a target that crashed is away.
AWAY_SECONDS = (0.5, 1.5)
# Seconds after the first announcement of a rate limit from which it holds for
# all entries, including those that had a fault at the announcement.
PROPAGATION_SECONDS = 3.0
# Window in which requests are counted, in seconds; they may exceed the rate
# limit by this factor and this number of requests.
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_EXCESS = 1.5
LIMIT_SLACK = 5
# Arrivals that are kept for a target without a rate limit.
MAX_ARRIVALS = 1_000

IsEvacuated = collections.abc.Callable[[str], bool]


class SoakTarget:
    """Serves calls and streams at its own address, and checks arrivals.

    ``fault_mode`` holds for the next answers: empty for none, ``reset`` aborts
    the connection after the run, ``silent`` never answers, ``shed`` rejects.

    :param address: address to listen on, ``ip:port``
    :param announced: address that it announces, ``ip:port``
    :param controls: control addresses of the voters
    :param checker: records what the target runs, and violations
    :param rng: random number generator for the order of tried voters
    :ivar first_number: number of the first event of each stream
    """

    def __init__(
        self,
        address: str,
        announced: str,
        controls: list[str],
        checker: InvariantChecker,
        rng: random.Random,
    ):
        self.address = address
        self._announced = announced
        self.fault_mode = ""
        self._controls = controls
        self._checker = checker
        self._rng = rng
        self.instance = _make_name()
        self.zone = "z"
        self.service = "s"
        self.software_version = "v1"
        self.event_seconds = SERVICE_SECONDS / 2
        self.first_number = 1
        self.crashing_part: PartChecker | None = None
        self._crashed: asyncio.Task | None = None
        self.log: RunLog | None = None
        self.senders = Senders()
        self.proxies: list[Proxy] = []
        self.is_evacuated: IsEvacuated = lambda zone: False
        self._cold = ColdChecker(checker.violations)
        self.signals = SignalChecker(violations=checker.violations)
        self.load = LoadReporter(random.Random(address))
        self.framing = Framing(random.Random(address))
        self.answer_faults = AnswerFaults(random.Random(address))
        self.rest_errors = RestErrors(random.Random(address))
        self.limit: float | None = None
        self.arrivals: list[float] = []
        self._limit_known_at: float | None = None
        self._restart_lock = asyncio.Lock()
        self.restarted = False
        self.runs = 0
        self.health_checks = 0
        self._started_ms = 0
        # High, as after a long run: a restart begins at zero again.
        self._sequence = INITIAL_SEQUENCE
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "SoakTarget":
        # Increase it even if the target restarts within one millisecond.
        self._started_ms = max(self._started_ms + 1, int(1000 * time.time()))
        self._server = web.Server(self._handle, access_log=None)
        host, port = self.address.split(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, int(port)
        )
        for proxy in self.proxies:
            await proxy.accept_again()
        self._task = asyncio.create_task(self._announce())
        return self

    async def __aexit__(self, *exc) -> None:
        if self._crashed is not None and not self._restart_lock.locked():
            self._crashed.cancel()
        self._stop_listening()
        await self._server.shutdown(0.1)

    def _stop_listening(self) -> None:
        self._task.cancel()
        self._listener.close()
        for proxy in self.proxies:
            proxy.refuse()

    async def start_anew(self) -> None:
        """Start under a name of its own, as most engines do at each start."""
        self.instance = _make_name()
        await self.__aenter__()

    def turn_cold(self, seconds: float) -> None:
        """Be cold for some seconds; the next heartbeats announce it."""
        self._cold.begin(seconds)

    def _log_cold_arrival(self, request: web.BaseRequest, count: int) -> None:
        sent = request.headers.get("X-Sent")
        if self.log is not None and sent is not None:
            self.log.write(
                "arrived_cold",
                target=self.instance,
                id=request.headers["X-Chivepier-Request-Id"],
                entry=request.headers["X-Entry"],
                sent_ms=round(1000 * (time.monotonic() - float(sent))),
                within_second=count,
            )

    def _check_cold_limit(self, request: web.BaseRequest) -> None:
        """Check that the zone is in use, and the rate while cold."""
        if self.is_evacuated(self.zone):
            text = f"{self.address} was sent to in evacuated {self.zone}"
            self._checker.violations.append(text)
        count = self._cold.count_arrival(
            self.address, self.instance, self._find_arrival(request)
        )
        if count:
            self._log_cold_arrival(request, count)

    def announce_limit(self, rate: float | None) -> None:
        """Announce a rate limit in answers from now on, or none.

        :param rate: requests per second over all entries, or no limit
        """
        self.limit, self._limit_known_at = rate, None
        self.arrivals.clear()

    def _check_rate_limit(self) -> None:
        """Check the rate of requests while a limit is announced."""
        now = time.monotonic()
        self.arrivals.append(now)
        if self.limit is None:
            del self.arrivals[:-MAX_ARRIVALS]
            return
        if self._limit_known_at is None:
            self._limit_known_at = now + PROPAGATION_SECONDS
        since = max(self._limit_known_at, now - LIMIT_WINDOW_SECONDS)
        count = sum(at >= since for at in self.arrivals)
        if (
            count
            > LIMIT_EXCESS * LIMIT_WINDOW_SECONDS * self.limit + LIMIT_SLACK
        ):
            text = (
                f"{count} in {LIMIT_WINDOW_SECONDS} s at {self.address},"
                " rate-limited"
            )
            self._checker.violations.append(text)

    def crash(self) -> None:
        """Abort all connections and running requests at once."""
        self._stop_listening()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def restart(
        self, seconds: float, software_version: str | None = None
    ) -> None:
        """Stop, lose running requests, and start again.

        With the same software it keeps its name, which is harder for entries
        than what engines do: they have a new name at each start.

        :param seconds: time until it starts again, in seconds
        :param software_version: version that it starts with, under a new
            name; the same by default
        """
        async with self._restart_lock:
            await self.__aexit__()
            self.signals.reset()
            await asyncio.sleep(seconds)
            if software_version is not None:
                self.software_version = software_version
                self.instance = _make_name()
            # Entries do not know the limit of the restarted target yet.
            self.announce_limit(self.limit)
            self.restarted, self.runs, self._sequence = True, 0, 0
            await self.__aenter__()

    async def _announce(self) -> None:
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send_heartbeat(session)
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, session: aiohttp.ClientSession) -> None:
        for control in self._rng.sample(self._controls, len(self._controls)):
            if await self.announce_to(session, control) == 200:
                return

    async def announce_to(
        self, session: aiohttp.ClientSession, control: str
    ) -> int:
        """Announce the target to a voter; return the status of its answer.

        :param control: control address of the voter
        """
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self._announced,
            "zone": self.zone,
            "version": self.software_version,
            "slots": SLOTS,
            "state": "ready",
            "seq": self._sequence,
            "born": self._started_ms,
            "cold-left-ms": round(1000 * self._cold.seconds_left),
        }
        url = f"http://{control}/chivepier/instances/{self.instance}"
        try:
            async with session.put(url, json=body) as answer:
                if answer.status == 200 and body["cold-left-ms"]:
                    self._cold.note_announced()
                return answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != HEALTH_PATH:
            return await self._serve(request)
        self.health_checks += 1
        named = {"X-Chivepier-Instance-Id": self.instance}
        return web.Response(headers=named)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        identity = request.headers["X-Chivepier-Request-Id"]
        echo = {"X-Chivepier-Request-Id": identity}
        crashes = self._has_crashing_part(request)
        wanted = request.headers.get("X-Chivepier-Expect-Instance")
        if wanted != self.instance:
            return web.Response(status=421, headers=echo)
        self.answer_faults.send_due(request)
        self._check_cold_limit(request)
        self._check_rate_limit()
        if self.limit is not None:
            echo["Server-Limit"] = str(self.limit)
        fault_mode = self.fault_mode
        overloaded = fault_mode == "shed" or self.signals.overloaded
        fault = None
        if overloaded or not request.path.startswith(STREAM_PATHS):
            fault = self.answer_faults.draw()
        error = None
        if not overloaded and request.path.startswith(RESUMABLE_PATH):
            error = self.rest_errors.draw(request)
        readable = self.answer_faults.can_be_read(request, fault)
        echo |= self._check_signals(
            request, overloaded, readable and error is None
        )
        echo |= self.load.make_headers()
        if overloaded:
            echo["X-Chivepier-Not-Run"] = "1"
            refusal = web.Response(status=503, headers=echo)
            return self.answer_faults.apply(request, refusal, fault, ran=False)
        if crashes:
            return await self._crash_on(request, echo)
        if error is not None:
            self._checker.erred.add(identity)
            return await self.rest_errors.send(request, echo, error)
        self.load.running += 1
        try:
            return await self._run(request, identity, echo, fault_mode, fault)
        finally:
            self.load.running -= 1

    def _has_crashing_part(self, request: web.BaseRequest) -> bool:
        checker = self.crashing_part
        parts = request.headers.get("X-Chivepier-Prefix-Hash", "")
        if checker is None or not checker.is_in(parts):
            return False
        checker.record_arrival(self.senders.find(_name_connection(request)))
        return True

    async def _crash_on(
        self, request: web.BaseRequest, echo: dict[str, str]
    ) -> web.StreamResponse:
        """Crash as the answer begins, and start again a moment later."""
        await request.read()
        response = web.StreamResponse(headers=echo)
        await response.prepare(request)
        await asyncio.sleep(SERVICE_SECONDS)
        if self._crashed is None or self._crashed.done():
            if self.crashing_part is not None:
                self.crashing_part.record_crash()
            work = self.crash_for(self._rng.uniform(*AWAY_SECONDS))
            self._crashed = asyncio.create_task(work)
        raise asyncio.CancelledError

    async def crash_for(self, seconds: float) -> None:
        """Crash, and start again under another name.

        :param seconds: time until it starts again, in seconds
        """
        async with self._restart_lock:
            self.crash()
            self.signals.reset()
            await asyncio.sleep(seconds)
            self.announce_limit(self.limit)
            self.restarted, self.runs, self._sequence = True, 0, 0
            await self.start_anew()

    async def _run(
        self,
        request: web.BaseRequest,
        identity: str,
        echo: dict[str, str],
        fault_mode: str,
        fault: AnswerFault | None,
    ) -> web.StreamResponse:
        await request.read()
        echo |= sign(self.instance)
        self.runs += 1
        if not request.path.startswith(REPEATABLE_PATHS):
            self._checker.record_run(identity)
        if fault_mode == "silent":
            await asyncio.sleep(60)
        if request.path.startswith(STREAM_PATHS):
            echo |= EVENT_STREAM
            early_end = None
            if "Last-Event-Id" not in request.headers:
                early_end = self.framing.draw_early_end(EVENT_COUNT)
            cut = self.rest_errors.draw_break(self._find_place(request))
            if cut is not None and cut.error:
                self._checker.erred.add(identity)
                early_end = EVENT_COUNT
            response = self.framing.make_response(echo, early_end)
            with contextlib.suppress(ConnectionError):
                await self._stream(
                    request, response, fault_mode, early_end, cut
                )
            return response
        await asyncio.sleep(SERVICE_SECONDS)
        if fault_mode == "reset":
            request.transport.abort()
        answer = web.Response(body=make_expected_body(identity), headers=echo)
        return self.answer_faults.apply(request, answer, fault, ran=True)

    def _check_signals(
        self, request: web.BaseRequest, refused: bool, readable: bool
    ) -> dict[str, str]:
        """Check earlier signals to the sender; return the current ones.

        :param readable: whether the sender can read the answer
        """
        asked = request.headers.get("X-Entry")
        if asked is not None:
            # another entry may have sent what this one was asked for
            connection = _name_connection(request)
            entry = self.senders.find(connection) or asked
            sent = float(request.headers["X-Sent"])
            arrived = self._find_arrival(request)
            if self.signals.check_arrival(entry, sent, arrived):
                self._log_signal("signal_ignored", request, entry)
            if refused:
                self._log_signal("refused", request, entry, readable=readable)
            if readable:
                told = self.signals.prepare_answer(entry, refused)
                if self.senders.is_followed(connection):
                    self.senders.call_when_told(connection, told)
                else:
                    told(time.monotonic())
        return self.signals.make_headers(refused)

    def _find_arrival(self, request: web.BaseRequest) -> float:
        """Return when a request arrived, also if it is read late."""
        at = self.senders.find_arrival(_name_connection(request))
        if at is not None:
            return at
        if request.transport is None:
            return time.monotonic()
        return measure_arrival(request.transport)

    def _log_signal(
        self, event: str, request: web.BaseRequest, entry: str, **fields
    ) -> None:
        if self.log is not None:
            sent = float(request.headers["X-Sent"])
            self.log.write(
                event,
                target=self.instance,
                id=request.headers["X-Chivepier-Request-Id"],
                entry=entry,
                sent_ms=round(1000 * (time.monotonic() - sent)),
                rest=self.signals.rest,
                **fields,
            )

    def _find_place(self, request: web.BaseRequest) -> int:
        """Return the place in its series, from 1, where a stream begins."""
        last = request.headers.get("Last-Event-Id")
        return max(1, int(last) - self.first_number + 2) if last else 1

    async def _stream(
        self, request, response, fault_mode, early_end=None, cut=None
    ) -> None:
        await response.prepare(request)
        broken_at = self.framing.draw_break(EVENT_COUNT)
        for place in range(self._find_place(request), EVENT_COUNT + 1):
            number = self.first_number + place - 1
            if fault_mode == "reset" and place == EVENT_COUNT // 2:
                await response.write(b"id: %d\nda" % number)
                request.transport.abort()
                return
            event = make_event(place, number, self.software_version)
            if cut is not None and place == cut.place:
                await cut.write(request, response, event)
                return
            if place == broken_at:
                await response.write(self.framing.cut_event(event))
                break
            await response.write(event)
            if place == early_end:
                break
            await asyncio.sleep(self.event_seconds)
        await response.write_eof()


def _make_name() -> str:
    return f"i-{secrets.token_hex(4)}"


def _name_connection(request: web.BaseRequest) -> Connection | None:
    """Return what names a request's connection; ``None`` if it has ended."""
    if request.transport is None:
        return None
    return name_accepted(request.transport)


def describe(targets: list[SoakTarget]) -> str:
    """Return the fault modes of the targets, for failure reports."""
    return json.dumps({t.address: t.fault_mode for t in targets})
