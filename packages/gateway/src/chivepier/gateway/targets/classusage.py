"""The room that a class of requests takes."""

import attrs


@attrs.frozen(kw_only=True)
class ClassUsage:
    """What the requests of one urgency take at a service, over all entries.

    :param urgency: the class; the lowest is the most urgent
    :param running: number of generations that hold room now
    :param held: tokens that they hold now
    :param average: tokens that the class held or waited for, on average
    :param size: usual tokens of one generation
    """

    urgency: int
    running: int
    held: int
    average: float
    size: float
