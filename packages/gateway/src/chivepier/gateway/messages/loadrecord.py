"""The LoadRecord message."""

from chivepier.messages.registry import message


@message(160)
class LoadRecord:
    """What one entry runs at one target: absolute counts.

    ``reading`` is the part of ``tokens`` that is still to be read in.
    ``turn`` is how long it needs to copy memory off a target that leaves, in
    milliseconds, and ``copying`` is set while it does so. ``receiving`` counts
    the copies that it sends to the target. ``avoiding`` is 1 while the entry
    sends nothing there, as it could not reach the target or lost a request at
    it; in a voter's sums, how many entries do.
    """

    entry: str
    instance: str
    runs: int
    tokens: int
    reading: int
    copy_ms: int
    copying: bool = False
    receiving: int = 0
    avoiding: int = 0
