"""One permit, as its owner remembers it."""

import attrs

from chivepier.messages import Member
from chivepier.messages import StopOrder


@attrs.define(kw_only=True)
class PermitRecord:
    """Who holds a permit, and what was last heard of it.

    ``holder`` is ``node.incarnation`` of the entry, ``entry`` its peer
    address; times are monotonic seconds of the owner.  ``lost_at`` is set
    while the holder is no member: its generation may still run.
    """

    permit: int
    request: str
    holder: str
    entry: str
    target: str
    team: str
    template: str
    granted: float
    heard: float
    lost_at: float | None = None
    stop: StopOrder | None = None


def find_holder(request: str) -> str:
    """Return who named a request.

    >>> find_holder("ab12.1764.7")
    'ab12.1764'

    :param request: a name that ``Permits.name_request`` made
    :returns: ``node.incarnation``
    """
    return request.rpartition(".")[0]


def name_holder(member: Member) -> str:
    """Return the holder of the permits of a member's requests.

    :param member: an entry, in one run
    :returns: ``node.incarnation``, as :func:`find_holder` returns it
    """
    return f"{member.node}.{member.incarnation}"
