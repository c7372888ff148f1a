"""Per-team parameters."""

import attrs

from chivepier.documents.grant import Grant


@attrs.frozen(kw_only=True)
class Team:
    """Who a team is and what it may use.

    ``key_sha256`` is the hexadecimal digest of the bearer key, so that the
    configuration never holds the key itself.
    """

    key_sha256: tuple[str, ...]
    weight: float = 1.0
    grants: dict[str, Grant] = attrs.field(factory=dict)
