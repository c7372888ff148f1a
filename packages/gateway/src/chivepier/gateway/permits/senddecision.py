"""An answer to a claim."""

import attrs


@attrs.frozen
class SendDecision:
    """Leave to send at a moment, or when to ask again.

    :param granted: whether the request may be sent
    :param wait: seconds until then, or until it is worth asking again
    :param permit_seconds: seconds after that moment in which it may be sent;
        0 where none was agreed on
    """

    granted: bool
    wait: float
    permit_seconds: float = 0.0
