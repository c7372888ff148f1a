"""A team and its keys."""

import attrs


@attrs.frozen(kw_only=True)
class Team:
    """Who shares the targets.

    :param name: what targets are told
    :param keys: each names this team
    :param regions: that its requests may reach; ``None`` for all
    :param urgency: goes before the route's; 0 is the most urgent
    """

    name: str
    keys: tuple[str, ...]
    urgency: int | None = None
    regions: frozenset[str] | None = None
