"""What one target did that was asked for a stream, or its rest."""

import attrs

from chivepier.gateway.forwarding.tests.restways import Kind


@attrs.frozen(kw_only=True)
class RestSend:
    """One send and what came of it.

    :param kind: what the answer is
    :param events: whether events came
    :param new_events: whether events came that the caller lacked
    :param part: whether a part of an event came that the caller lacked
    :param orderly: whether the body ended in order
    :param framed: whether it had a length or chunks
    :param stopped: whether it ended by an order to stop
    """

    kind: Kind
    events: bool = False
    new_events: bool = False
    part: bool = False
    orderly: bool = False
    framed: bool = False
    stopped: bool = False

    @property
    def ends_between(self) -> bool:
        """Whether it ended behind an event, by its target's word or order."""
        return self.events and (self.orderly or self.stopped)
