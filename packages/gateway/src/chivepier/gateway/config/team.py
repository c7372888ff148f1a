"""A team and its keys."""

import attrs


@attrs.frozen(kw_only=True)
class Team:
    """A team whose requests share the targets with those of other teams.

    :param name: name sent to targets
    :param keys: keys, each of which identifies this team
    :param regions: regions that its requests may reach; ``None`` for all
    :param urgency: overrides the urgency of the route; 0 is the most urgent
    """

    name: str
    keys: tuple[str, ...]
    urgency: int | None = None
    regions: frozenset[str] | None = None
