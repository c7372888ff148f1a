"""How long the request path waits."""

import attrs


@attrs.frozen(kw_only=True)
class Patience:
    """In seconds.

    ``silence``: without a byte for so long a second reader is opened; it
    doubles up to ``longest_silence`` while the engine knows the generation
    but has no token, since a queued or preempted one is silent too.
    ``start``: for an engine to answer the first request.
    ``lost``: for an engine that can't be reached, or answers nothing.
    ``quiet``: for a token of a generation that the engine still has.
    ``pause``: between attempts to reach an engine.
    ``resumption``: for a caller that left, until its generation is ended.
    ``slow``: for a caller to take what was written.
    ``call``: for a plain service to answer.
    ``queue``: for a permit.
    """

    silence: float = 1.0
    longest_silence: float = 8.0
    start: float = 4.0
    lost: float = 6.0
    quiet: float = 120.0
    pause: float = 0.1
    resumption: float = 5.0
    slow: float = 10.0
    call: float = 60.0
    queue: float = 30.0
