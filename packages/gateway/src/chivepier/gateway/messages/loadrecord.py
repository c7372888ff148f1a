"""The LoadRecord message."""

from chivepier.messages.registry import message


@message(160)
class LoadRecord:
    """Load of one entry on one target, in absolute counts.

    ``runs`` is the number of running requests and ``tokens`` the KV memory
    that they take; ``reading`` is the part of ``tokens`` not prefilled yet.
    ``copy_ms`` is the time in milliseconds that the entry needs to copy KV
    memory off a leaving target, and ``copying`` is set during the copy.
    ``receiving`` is the number of copies being sent to the target.
    ``avoiding`` is 1 while the entry avoids the target after a connection
    failure or a lost request; in a voter's sums, it counts such entries.
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
