"""How one request of the load ended."""

import attrs


@attrs.define(kw_only=True)
class Outcome:
    """``kind`` is ``ok``, an error kind, or ``broken`` for a wrong answer.

    Times are in seconds; ``gaps`` are those between deliveries.
    """

    team: str
    template: str
    kind: str = "ok"
    ran: str = "yes"
    first_token: float | None = None
    gaps: list[float] = attrs.field(factory=list)
    tokens: int = 0
    resumes: int = 0
    seconds: float = 0.0
    problems: list[str] = attrs.field(factory=list)
    retry_after: float | None = None
