"""Prometheus metrics of an entry, by team and urgency class."""

import asyncio
import collections
import collections.abc

# Maximum number of teams with separate series; the others share one. Each
# team has a series per class and bucket, all of which a scrape transfers.
MAX_TEAMS = 200
OTHER_TEAM = "other"
# Upper bounds in seconds, chosen around the objectives of plain calls, first
# events, pauses and whole streams.
BUCKETS = (0.01, 0.03, 0.06, 0.1, 0.18, 0.3, 0.6, 1, 1.8, 3, 6, 15, 60)
# Seconds after the start at which the metrics library is loaded, so that a
# restarted entry listens sooner.
LOAD_DELAY_SECONDS = 3.0
# Maximum number of observations buffered until then; the others are counted
# as dropped.
MAX_BUFFERED_OBSERVATIONS = 5_000
COUNTERS = (
    "requests",
    "moves",
    "quarantine",
    "cold_permits",
    "limit_permits",
    "unread",
    "rests",
    "held_back",
    "reports",
    "fits",
    "room_kept",
    "refused_early",
    "team_waits",
    "shed",
    "reach",
    "forwards",
    "stream_ends",
    "end_findings",
    "foreign",
    "take_ups",
    "refusals",
    "excess",
    "failed_parts",
    "refused_clients",
)
GAUGES = ("zones", "place_waiting", "config_age", "config_behind")


class Metrics:
    """Records metrics; buffers them until the metrics library is loaded.

    >>> metrics = Metrics()
    >>> metrics.record_request("t1", "1", "answered", 0.05)
    >>> metrics.load()
    >>> b'team="t1"' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self._buffered: collections.deque = collections.deque()
        self._dropped = 0
        self._teams: set[str] = set()
        self._series: dict = {}
        self._registry = None

    async def load_after_delay(self) -> None:
        """Load the metrics library after a delay."""
        await asyncio.sleep(LOAD_DELAY_SECONDS)
        self.load()

    def load(self) -> None:
        """Load the metrics library and apply the buffered observations."""
        if self._registry is not None:
            return
        import prometheus_client as library

        self._registry = library.CollectorRegistry()
        self._series = _make_series(library, self._registry)
        self._series["dropped"].inc(self._dropped)
        while self._buffered:
            name, labels, value = self._buffered.popleft()
            self._apply(name, labels, value)

    def render(self) -> bytes:
        """Return all series in the Prometheus text format."""
        import prometheus_client as library

        self.load()
        return library.generate_latest(self._registry)

    def record_request(
        self, team: str, urgency: str, outcome: str, seconds: float
    ) -> None:
        """Count a request that has ended.

        :param team: team of the request; empty if unknown
        :param urgency: urgency class of the request
        :param outcome: ``answered`` or the kind of its failure
        :param seconds: seconds from its arrival to its end
        """
        labels = (self._limit_team(team), urgency)
        self._record("requests", (*labels, outcome), 1.0)
        self._record("seconds", labels, seconds)

    def record_stream(
        self, team: str, urgency: str, first: float, gap: float
    ) -> None:
        """Observe the times of a stream that has ended.

        :param team: team of the stream
        :param urgency: urgency class of the stream
        :param first: seconds to its first event
        :param gap: its longest pause, in seconds
        """
        labels = (self._limit_team(team), urgency)
        self._record("first", labels, first)
        self._record("gap", labels, gap)

    def record_stream_end(self, cause: str, taken_for: str) -> None:
        """Count the end of what one target sent of a stream.

        :param cause: what ended it
        :param taken_for: ``whole`` or ``cut``
        """
        self._record("stream_ends", (cause, taken_for), 1.0)

    def record_end_finding(self, answered_by: str) -> None:
        """Count an end without a length, whose target was asked for.

        :param answered_by: who answered: ``same``, ``other``, ``nobody``,
            ``unknown`` or ``unasked``
        """
        self._record("end_findings", (answered_by,), 1.0)

    def record_foreign(self, what: str, reason: str) -> None:
        """Count what came where the rest of a stream was due, and was none.

        :param what: ``answer``, or ``piece`` of a body
        :param reason: value of a :class:`Continuation` or a :class:`Piece`
        """
        self._record("foreign", (what, reason), 1.0)

    def record_take_up(self, source: str) -> None:
        """Count a stream that a caller takes up.

        :param source: who knew where it began: ``own``, ``only``, ``told``,
            ``unknown`` or ``unheard``
        """
        self._record("take_ups", (source,), 1.0)

    def record_refusal(self, evidence: str) -> None:
        """Count an answer of a target that refuses a request.

        :param evidence: ``stated`` in the answer, ``misdirected``, or only
            the ``status``
        """
        self._record("refusals", (evidence,), 1.0)

    def record_excess(self, kind: str) -> None:
        """Count a connection that was ended for what a target sent.

        :param kind: ``head``, ``framing`` or ``form`` of an answer, or
            ``after`` a whole one
        """
        self._record("excess", (kind,), 1.0)

    def record_move(self, outcome: str) -> None:
        """Count a copy of a running generation's memory by its outcome."""
        self._record("moves", (outcome,), 1.0)

    def record_fit(self, fit: str) -> None:
        """Count a long stream that started at a target.

        :param fit: ``fits``, ``unknown`` or ``unfit``: whether it meets its
            objective for pauses there
        """
        self._record("fits", (fit,), 1.0)

    def record_quarantine(self, event: str) -> None:
        """Count a decision about a request that may crash targets.

        :param event: ``suspected``, ``held``, ``refused``, ``cleared`` or
            ``released``
        """
        self._record("quarantine", (event,), 1.0)

    def record_permit(self, kind: str, answer: str) -> None:
        """Count the answer to a request for a permit.

        :param kind: ``cold`` or ``limit``: why the target needs permits
        :param answer: ``granted``, ``refused``, ``late`` or ``unanswered``;
            without a leader ``own_part`` or ``refused_alone``
        """
        self._record(f"{kind}_permits", (answer,), 1.0)

    def record_backoff(self, service: str) -> None:
        """Count an answer that requests a backoff.

        :param service: service of the target
        """
        self._record("rests", (service,), 1.0)

    def record_held_back(self, reason: str) -> None:
        """Count a call held back right before it was sent.

        :param reason: ``rest``, ``leaving``, ``evacuated``, ``stale``,
            ``permit`` or ``brittle``
        """
        self._record("held_back", (reason,), 1.0)

    def record_report(self, source: str) -> None:
        """Count a report of a target's own load.

        :param source: ``own`` from its answers, ``relayed`` from other
            entries; left out: ``outdated``, ``unknown`` (no such incarnation
            here) or ``invalid``
        """
        self._record("reports", (source,), 1.0)

    def record_room_kept(self, urgency: str) -> None:
        """Count a request left out for the sake of more urgent classes.

        :param urgency: urgency class of the request
        """
        self._record("room_kept", (urgency,), 1.0)

    def record_team_wait(self, urgency: str) -> None:
        """Count a request left out for teams that took less than its own.

        :param urgency: urgency class of the request
        """
        self._record("team_waits", (urgency,), 1.0)

    def record_refused_early(self, urgency: str) -> None:
        """Count a request refused as it would start too late.

        :param urgency: urgency class of the request
        """
        self._record("refused_early", (urgency,), 1.0)

    def record_room_wait(
        self, urgency: str, kind: str, seconds: float
    ) -> None:
        """Observe a wait for room.

        :param urgency: urgency class of the request
        :param kind: ``expected`` when it began, or ``real`` when it ended
        :param seconds: the wait, in seconds
        """
        self._record("room_wait", (urgency, kind), seconds)

    def record_shed(self, shortage: str) -> None:
        """Count a request refused to save the instance.

        :param shortage: ``descriptors`` or ``memory``: what was short
        """
        self._record("shed", (shortage,), 1.0)

    def record_refused_client(self, reason: str) -> None:
        """Count a connection of a client that was ended for what it did.

        :param reason: what it did, in a word
        """
        self._record("refused_clients", (reason,), 1.0)

    def record_reach(self, event: str) -> None:
        """Count a change of whether a service is in reach of this entry.

        :param event: ``lost`` or ``regained``
        """
        self._record("reach", (event,), 1.0)

    def record_failed_part(self, part: str) -> None:
        """Count an unexpected error of a part of this process.

        :param part: name of the part
        """
        self._record("failed_parts", (part,), 1.0)

    def record_forward(self, side: str, outcome: str) -> None:
        """Count a request that was forwarded between entries.

        :param side: ``sent`` by this entry or ``received``
        :param outcome: ``answered``, ``refused``, ``failed``, ``lost``,
            ``cancelled`` or the kind of a failure
        """
        self._record("forwards", (side, outcome), 1.0)

    def record_unknown_header(self, name: str) -> None:
        """Count an unknown header in a target's answer.

        :param name: name of the header in lower case, from a bounded set
        """
        self._record("unread", (name,), 1.0)

    def set_zone_evacuated(self, zone: str, evacuated: bool) -> None:
        """Set whether an availability zone is evacuated.

        :param zone: name of the availability zone
        :param evacuated: whether no new requests are sent there
        """
        self._record("zones", (zone,), float(evacuated))

    def set_config_age(self, age: float, behind: int) -> None:
        """Set how old the knowledge of the newest configuration is.

        :param age: seconds since a voter that knows the newest one was asked
        :param behind: newest version that a voter told, less the one in force
        """
        self._record("config_age", (), age)
        self._record("config_behind", (), float(behind))

    def set_place_waiting(
        self, service: str, urgency: str, waiting: int
    ) -> None:
        """Set how many plain requests wait here for a place.

        :param service: name of a configured service
        :param urgency: their urgency class
        :param waiting: number of them
        """
        self._record("place_waiting", (service, urgency), float(waiting))

    def record_place_wait(
        self, service: str, urgency: str, outcome: str, seconds: float
    ) -> None:
        """Observe a wait for a place that has ended.

        :param service: name of a configured service
        :param urgency: urgency class of the request
        :param outcome: ``free``, ``unreported``, ``over``, ``hopeless`` or
            ``left``
        :param seconds: its length, in seconds
        """
        self._record("place_seconds", (service, urgency, outcome), seconds)

    def _limit_team(self, team: str) -> str:
        if team not in self._teams:
            if len(self._teams) >= MAX_TEAMS:
                return OTHER_TEAM
            self._teams.add(team)
        return team

    def _record(self, name: str, labels: tuple, value: float) -> None:
        if self._registry is not None:
            self._apply(name, labels, value)
        elif len(self._buffered) < MAX_BUFFERED_OBSERVATIONS:
            self._buffered.append((name, labels, value))
        else:
            self._dropped += 1

    def _apply(self, name: str, labels: tuple, value: float) -> None:
        series = self._series[name]
        if labels:
            series = series.labels(*labels)
        if name in COUNTERS:
            series.inc(value)
        elif name in GAUGES:
            series.set(value)
        else:
            series.observe(value)


def _make_series(library, registry) -> dict:
    team_labels = ("team", "class")

    def histogram(name: str, text: str):
        return library.Histogram(
            name, text, team_labels, buckets=BUCKETS, registry=registry
        )

    return {
        "requests": library.Counter(
            "chivepier_requests",
            "Requests that have ended.",
            (*team_labels, "outcome"),
            registry=registry,
        ),
        "stream_ends": library.Counter(
            "chivepier_stream_ends",
            "Ends of streams of targets, and what they were taken for.",
            ("cause", "taken_for"),
            registry=registry,
        ),
        "end_findings": library.Counter(
            "chivepier_end_findings",
            "Ends without a length, by who answered for their targets.",
            ("answered_by",),
            registry=registry,
        ),
        "foreign": library.Counter(
            "chivepier_foreign_answers",
            "What came where the rest of a stream was due, and was none.",
            ("what", "reason"),
            registry=registry,
        ),
        "take_ups": library.Counter(
            "chivepier_streams_taken_up",
            "Streams that callers take up, by who knew where they began.",
            ("source",),
            registry=registry,
        ),
        "refusals": library.Counter(
            "chivepier_target_refusals",
            "Refusals of targets, by what tells that nothing ran.",
            ("evidence",),
            registry=registry,
        ),
        "excess": library.Counter(
            "chivepier_target_excess",
            "Connections that were ended for what targets sent.",
            ("kind",),
            registry=registry,
        ),
        "moves": library.Counter(
            "chivepier_memory_copies",
            "Copies of live generations' memory.",
            ("outcome",),
            registry=registry,
        ),
        "quarantine": library.Counter(
            "chivepier_quarantine",
            "Decisions about requests under which targets ended.",
            ("event",),
            registry=registry,
        ),
        "limit_permits": library.Counter(
            "chivepier_limit_permits",
            "Answers to questions for sends to targets that name a limit.",
            ("answer",),
            registry=registry,
        ),
        "cold_permits": library.Counter(
            "chivepier_cold_permits",
            "Answers to questions for sends to cold targets.",
            ("answer",),
            registry=registry,
        ),
        "reach": library.Counter(
            "chivepier_reach_changes",
            "Services that came out of reach of this entry, or into it.",
            ("event",),
            registry=registry,
        ),
        "failed_parts": library.Counter(
            "chivepier_failed_parts",
            "Unexpected errors that ended a part, which then began again.",
            ("part",),
            registry=registry,
        ),
        "forwards": library.Counter(
            "chivepier_forwarded_requests",
            "Requests that an entry had another one serve.",
            ("side", "outcome"),
            registry=registry,
        ),
        "rests": library.Counter(
            "chivepier_rests",
            "Answers whose target asks this entry to send nothing.",
            ("service",),
            registry=registry,
        ),
        "held_back": library.Counter(
            "chivepier_held_back",
            "Calls of targets that were given up right before they went out.",
            ("reason",),
            registry=registry,
        ),
        "reports": library.Counter(
            "chivepier_target_reports",
            "Reports of targets about their own load.",
            ("source",),
            registry=registry,
        ),
        "fits": library.Counter(
            "chivepier_streams_by_fit",
            "Long streams by whether their target is fast enough.",
            ("fit",),
            registry=registry,
        ),
        "room_kept": library.Counter(
            "chivepier_room_kept",
            "Requests left out of a round for more urgent classes.",
            ("class",),
            registry=registry,
        ),
        "team_waits": library.Counter(
            "chivepier_team_waits",
            "Requests left out of a round for teams that took less.",
            ("class",),
            registry=registry,
        ),
        "refused_early": library.Counter(
            "chivepier_refused_early",
            "Requests refused as they would have started too late.",
            ("class",),
            registry=registry,
        ),
        "room_wait": library.Histogram(
            "chivepier_room_wait_seconds",
            "Waits for room, as expected when they began, and real.",
            ("class", "kind"),
            buckets=BUCKETS,
            registry=registry,
        ),
        "shed": library.Counter(
            "chivepier_shed_requests",
            "New requests refused near the limits of the instance.",
            ("shortage",),
            registry=registry,
        ),
        "refused_clients": library.Counter(
            "chivepier_refused_clients",
            "Connections of clients that were ended, by reason.",
            ("reason",),
            registry=registry,
        ),
        "unread": library.Counter(
            "chivepier_unread_headers",
            "Headers of targets' answers that nothing reads.",
            ("header",),
            registry=registry,
        ),
        "zones": library.Gauge(
            "chivepier_zone_evacuated",
            "Whether nothing new is sent to an availability zone.",
            ("zone",),
            registry=registry,
        ),
        "config_age": library.Gauge(
            "chivepier_configuration_age_seconds",
            "Time since a voter that knows the newest version was asked.",
            registry=registry,
        ),
        "config_behind": library.Gauge(
            "chivepier_configuration_behind",
            "Newest version that a voter told, less the one in force.",
            registry=registry,
        ),
        "place_waiting": library.Gauge(
            "chivepier_place_waiting",
            "Plain requests that wait here, as all targets are full.",
            ("service", "class"),
            registry=registry,
        ),
        "place_seconds": library.Histogram(
            "chivepier_place_wait_seconds",
            "Wait of a plain request for a place at a target.",
            ("service", "class", "outcome"),
            buckets=BUCKETS,
            registry=registry,
        ),
        "dropped": library.Counter(
            "chivepier_observations_dropped",
            "Observations left out before the metrics were loaded.",
            registry=registry,
        ),
        "seconds": histogram(
            "chivepier_request_seconds", "Arrival to end of a request."
        ),
        "first": histogram(
            "chivepier_first_event_seconds", "Arrival to a first event."
        ),
        "gap": histogram(
            "chivepier_longest_pause_seconds", "Longest pause of a stream."
        ),
    }
