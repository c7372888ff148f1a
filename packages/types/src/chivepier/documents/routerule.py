"""Rules for calls to plain services."""

import attrs


@attrs.frozen(kw_only=True)
class RouteRule:
    """Whether calls under a path may be repeated.

    Without a rule only the safe HTTP methods count as idempotent.
    """

    path: str
    methods: tuple[str, ...] = ()
    idempotent: bool = False
