"""A team's use of one template."""

import attrs

from chivepier.types.urgency import Urgency


@attrs.frozen(kw_only=True)
class Grant:
    """What a team changes in a template it may use.

    ``None`` inherits the template's value.
    """

    urgency: Urgency | None = None
    max_output_tokens: int | None = None
    adapters: tuple[str, ...] = ()
    share: float | None = None
