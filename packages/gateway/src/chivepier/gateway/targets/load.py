"""The load of a target."""

import attrs


@attrs.frozen(kw_only=True)
class Load:
    """Load of one target, summed over its generations.

    :param runs: number of generations
    :param tokens: memory that they take, or are expected to take at their end
    :param reading: prompt tokens that have not been read yet
    :param receiving: number of memory copies being sent to the target
    """

    runs: int = 0
    tokens: int = 0
    reading: int = 0
    receiving: int = 0
