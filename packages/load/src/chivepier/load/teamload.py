"""What one team asks for."""

import attrs


@attrs.frozen(kw_only=True)
class TeamLoad:
    """Open-loop load of one team on one template.

    ``rate`` is in requests a second; lengths are drawn from a log-normal
    with this ``median`` (tokens) and ``sigma``; ``burst`` multiplies the
    rate in the middle third of the run.  ``service`` calls a plain service
    by POST with an idempotency key instead of a completion.
    """

    team: str
    key: str
    template: str
    rate: float
    median: float = 60.0
    sigma: float = 1.0
    longest: int = 4000
    prompt_chars: int = 400
    burst: float = 1.0
    service: bool = False
