"""Which targets are too slow for a stream."""

import collections.abc

from chivepier.gateway.config import Engine
from chivepier.gateway.targets.decodeestimator import DecodeEstimator
from chivepier.gateway.targets.demand import Demand
from chivepier.gateway.targets.fit import Fit
from chivepier.gateway.targets.paceforecast import PaceForecast
from chivepier.gateway.targets.pacesurvey import PaceSurvey
from chivepier.gateway.targets.reportboard import ReportBoard
from chivepier.gateway.targets.target import Target

# Events of a stream above which it likely meets its target's longest usual
# pause; a shorter answer ends before.
FEW_EVENTS = 16
# Time of a step that also reads a part of a prompt, relative to the average
# step: it takes about twice as long as a plain one, and the average already
# contains some such steps.
READING_STEP_FACTOR = 1.6


class PaceAdvisor:
    """Tells which targets are too slow for a stream's longest pause.

    One pause beyond the objective makes a whole stream late, and a target
    that is slower than others also pauses longer when the work of others on
    its machine slows it.

    >>> advisor = PaceAdvisor(ReportBoard(), DecodeEstimator())
    >>> engine = Engine(slots=8, memory_tokens=9_000, event_tokens=4)
    >>> round(advisor.estimate_pause("s", engine, pace=1.7, peak=2.5), 3)
    0.272

    :param board: what targets report of their load
    :param decode_estimator: time of a token by service, at pace 1.0
    """

    def __init__(self, board: ReportBoard, decode_estimator: DecodeEstimator):
        self._board = board
        self._decode_estimator = decode_estimator

    def survey(
        self, targets: collections.abc.Collection[Target], now: float
    ) -> PaceSurvey:
        """Return the paces that targets report.

        :param targets: the targets of one service
        :param now: current time, in monotonic seconds
        """
        if self._board.is_empty:
            return PaceSurvey()
        paces = {}
        for target in targets:
            pace = self._board.get_base_pace(target.instance, target.born)
            if pace is not None:
                paces[target.instance] = pace
        if not paces:
            return PaceSurvey()
        peak = self._board.get_peak_ratio(targets, now)
        return PaceSurvey(paces=paces, peak=peak)

    def get_base_pace(self, target: Target) -> float:
        """Return a target's lowest pace; 1.0 if it never reported one."""
        pace = self._board.get_base_pace(target.instance, target.born)
        return 1.0 if pace is None else pace

    def get_present_pace(
        self, target: Target, survey: PaceSurvey, now: float
    ) -> float:
        """Return the pace that is expected of a target now.

        :param target: the target
        :param survey: the paces of its service
        :param now: current time, in monotonic seconds
        """
        if self._board.get_base_pace(target.instance, target.born) is None:
            return survey.typical
        return self._board.get_pace(target.instance, target.born, now)

    def estimate_pause(
        self, service: str, engine: Engine, pace: float, peak: float
    ) -> float:
        """Return the longest usual pause of a stream, in seconds.

        :param service: name of the service
        :param engine: engine settings of the service
        :param pace: pace of the target without the work of others
        :param peak: how many times slower it gets at times
        """
        usual = self._decode_estimator.estimate(
            service, engine.event_tokens, pace
        )
        return usual * peak * READING_STEP_FACTOR

    def forecast(
        self,
        target: Target,
        survey: PaceSurvey,
        engine: Engine | None,
        demand: Demand | None,
    ) -> PaceForecast:
        """Return what a target's pace makes of a request.

        :param target: the target
        :param survey: the paces of its service
        :param engine: engine settings of the service, if it has any
        :param demand: size of the generation, if it is one
        """
        pace = self._board.get_base_pace(target.instance, target.born)
        if not survey.paces or not self.is_long_stream(engine, demand):
            return PaceForecast(pace=pace)
        at_one = self.estimate_pause(target.service, engine, 1.0, survey.peak)
        pause = None if pace is None else pace * at_one
        fit = _judge(pause, demand.gap_objective)
        return PaceForecast(pace=pace, pause=pause, fit=fit)

    def advise(
        self,
        service: str,
        targets: collections.abc.Collection[Target],
        survey: PaceSurvey,
        engine: Engine | None,
        demand: Demand | None,
    ) -> dict[str, Fit]:
        """Return how well targets suit a request, where that matters.

        :param service: name of the service
        :param targets: candidates of the service
        :param survey: the paces of the service
        :param engine: engine settings of the service, if it has any
        :param demand: size of the generation, if it is one
        :returns: the fit of each candidate; empty if none is unfit or all
            are, as there is nothing to prefer then
        """
        if not survey.paces or not self.is_long_stream(engine, demand):
            return {}
        at_one = self.estimate_pause(service, engine, 1.0, survey.peak)
        fits = {}
        for target in targets:
            pace = survey.paces.get(target.instance)
            pause = None if pace is None else pace * at_one
            fits[target.instance] = _judge(pause, demand.gap_objective)
        unfit = sum(fit is Fit.UNFIT for fit in fits.values())
        return fits if 0 < unfit < len(fits) else {}

    @staticmethod
    def is_long_stream(engine: Engine | None, demand: Demand | None) -> bool:
        """Tell whether a request is a stream of many events.

        :param engine: engine settings of the service, if it has any
        :param demand: size of the generation, if it is one
        :returns: ``False`` also without an objective for its pauses
        """
        if engine is None or demand is None or demand.gap_objective <= 0:
            return False
        return demand.output > FEW_EVENTS * engine.event_tokens


def _judge(pause: float | None, objective: float) -> Fit:
    """Return the fit of a target by its longest usual pause, in seconds."""
    if pause is None:
        return Fit.UNKNOWN
    return Fit.FITS if pause <= objective else Fit.UNFIT
