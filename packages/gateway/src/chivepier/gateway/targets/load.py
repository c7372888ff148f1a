"""What runs at a target."""

import attrs


@attrs.frozen(kw_only=True)
class Load:
    """Counts over generations at one target.

    :param runs: generations
    :param tokens: memory that they take, or are expected to take in the end
    :param reading: tokens of prompts that have not been read in yet
    :param receiving: copies that are being sent to it
    """

    runs: int = 0
    tokens: int = 0
    reading: int = 0
    receiving: int = 0
