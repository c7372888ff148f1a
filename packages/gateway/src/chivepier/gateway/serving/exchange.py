"""Interface of one call to a target."""

import typing

from chivepier.gateway.serving.answerfacts import AnswerFacts


class Exchange(typing.Protocol):
    """Called right before a request is sent and when its answer arrives.

    The check is repeated here since it may have become outdated while the
    connection was established.
    """

    begun: bool

    def note_connected(self) -> None:
        """Record that a new connection was made for the request."""

    def begin(self) -> None:
        """Check again whether the request may be sent.

        :raises NotPermittedError: when it must not be sent
        """

    def confirm(self) -> None:
        """Check the call again, right before the first byte of its body.

        :raises NotPermittedError: when the target must not be called any more
        """

    def record_head(self, facts: AnswerFacts) -> None:
        """Record what the head of the answer reports of the target."""

    def record_excess(self, kind: str) -> None:
        """Record that the connection was ended for what the target sent.

        :param kind: ``head``, ``framing`` or ``form`` of an answer, or
            ``after`` a whole one
        """
