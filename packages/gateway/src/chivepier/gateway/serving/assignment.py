"""Where a request goes."""

import attrs

from chivepier.gateway.permits import Permit
from chivepier.gateway.targets import Target


@attrs.frozen
class Assignment:
    """A target, with room there where that can be reserved.

    :param target: the target
    :param reservation: of room there, if one was had
    :param permit: to send it
    """

    target: Target
    reservation: str | None = None
    permit: Permit = Permit()
