"""What a target's answer says besides its content."""

import attrs

from chivepier.gateway.limits import Limit
from chivepier.gateway.limits import NoLimit
from chivepier.gateway.limits import NoRest
from chivepier.gateway.limits import Rest


@attrs.frozen(kw_only=True)
class AnswerFacts:
    """Read from the head of an answer.

    :param not_run: the target says that it did not run the request
    :param other_instance: another instance has the address; its name, or
        empty when it does not tell
    :param crossed: the answer belongs to another request
    :param framed: the head says where the answer ends; else its connection
        does
    :param limit: the rate that the target takes; ``None`` where the answer
        is of a kind that tells of none
    :param rest: for how long the target wants nothing from this entry
    :param leaving: the target says that it leaves
    :param unread: names of headers that nothing reads
    """

    not_run: bool = False
    other_instance: str | None = None
    mismatched: bool = False
    framed: bool = True
    limit: Limit | None = NoLimit()
    rest: Rest = NoRest()
    leaving: bool = False
    unknown_headers: tuple[str, ...] = ()
