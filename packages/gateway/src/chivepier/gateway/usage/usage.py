"""Used shares of an instance's limits."""

import attrs


@attrs.frozen
class Usage:
    """Used shares of the limits, 1.0 for all; 0 for what is unknown.

    :param processor: share of the processor time of the last seconds
    :param memory: share of the memory
    :param descriptors: share of the descriptors
    """

    processor: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
