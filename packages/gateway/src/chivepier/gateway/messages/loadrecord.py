"""The LoadRecord message."""

from chivepier.messages.registry import message


@message(160)
class LoadRecord:
    """What one entry runs at one target: absolute counts.

    ``reading`` is the part of ``tokens`` that is still to be read in.
    ``exposed`` is how long it would need to copy memory off the target, in
    milliseconds, and ``turn`` the same where the target does leave;
    ``copying`` is set while it does so.
    """

    entry: str
    instance: str
    runs: int
    tokens: int
    reading: int
    exposed: int
    turn: int
    copying: bool = False
