"""What is expected of a request at a target."""

import attrs

from chivepier.gateway.targets.fit import Fit


@attrs.frozen(kw_only=True)
class PaceForecast:
    """What a target's pace makes of a request.

    :param pace: lowest pace that the target reported; ``None`` if it never
        did
    :param pause: longest usual pause of a stream there, in seconds; ``None``
        where ``fit`` is, or without a pace
    :param fit: how well it suits the request; ``None`` if the request is no
        long stream, or if no target of the service reports a pace
    """

    pace: float | None = None
    pause: float | None = None
    fit: Fit | None = None
