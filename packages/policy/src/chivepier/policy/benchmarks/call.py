"""One caller's request, through all its attempts."""

import attrs

from chivepier.policy.benchmarks.stream import Stream


@attrs.define(kw_only=True, eq=False)
class Call:
    """What is asked, its true length, and what became of it.

    ``first`` is the time of the first token.  ``waits`` holds the waits to
    the first token of the attempts that had one, ``stalled`` the seconds
    without a token inside streams, ``answered`` the seconds from an attempt
    to its refusal.
    """

    number: int
    at: float
    stream: Stream
    zone: str
    prompt: int
    length: int
    chain: tuple[int, ...]
    attempts: int = 0
    attempted: float = 0.0
    excluded: frozenset[str] = frozenset()
    first: float | None = None
    interrupted: float | None = None
    finished: float | None = None
    given_up: bool = False
    stalled: float = 0.0
    waits: list[float] = attrs.field(factory=list)
    answered: list[float] = attrs.field(factory=list)
