"""One failed request, as a value."""

import datetime

import attrs

from chivepier.types.errorkind import ErrorKind
from chivepier.types.ran import Ran


@attrs.frozen
class Failure:
    """What went wrong, whether the request ran, when to come back.

    >>> Failure(ErrorKind.NO_TARGET, "no target serves m").ran
    <Ran.NO: 'no'>
    """

    kind: ErrorKind
    message: str
    ran: Ran = Ran.NO
    retry_after: datetime.timedelta | None = None
