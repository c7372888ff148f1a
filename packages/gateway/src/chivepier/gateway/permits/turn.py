"""An answer to a claim."""

import attrs


@attrs.frozen
class Turn:
    """Leave to send at a moment, or when to ask again.

    :param granted: whether the request may be sent
    :param wait: seconds until then, or until it is worth asking again
    """

    granted: bool
    wait: float
