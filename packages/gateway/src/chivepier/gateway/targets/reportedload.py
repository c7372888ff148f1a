"""The load that a target reports of itself."""

import attrs


@attrs.frozen(kw_only=True)
class ReportedLoad:
    """One report of a target, as it stands in the head of an answer.

    :param running: number of requests that it runs
    :param waiting: number of requests that wait there
    :param slots: number of requests that it runs at once
    :param pace: time that work takes there now, relative to the usual time of
        the service: 2.0 takes twice as long; ``None`` if it reports none
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None
