"""How far limits were told to one voter."""

import attrs


@attrs.define
class LimitSyncState:
    """How far one voter and this entry have told each other.

    :param held: revision of the voter's board that this entry has
    :param told: revision of this entry's board that the voter has; ``None``
        where it may have nothing
    """

    received_revision: int = 0
    confirmed_revision: int | None = None
