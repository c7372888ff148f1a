"""How far rate limits are synchronized with one voter."""

import attrs


@attrs.define
class LimitSyncState:
    """Revisions of the rate limits exchanged with one voter.

    :param received_revision: revision of the voter's limits that this entry
        has
    :param confirmed_revision: revision of this entry's limits that the voter
        has; ``None`` if it may have none
    """

    received_revision: int = 0
    confirmed_revision: int | None = None
