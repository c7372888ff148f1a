"""Target assigned to a request."""

import attrs

from chivepier.gateway.permits import Permit
from chivepier.gateway.targets import Target


@attrs.frozen
class Assignment:
    """The target of a request, with its reservation and permit.

    :param target: target to send the request to
    :param reservation: handle of the room reserved there, if any
    :param permit: permit to send the request
    """

    target: Target
    reservation: str | None = None
    permit: Permit = Permit()
