"""One exchange with a target, as an interface."""

import typing

from chivepier.gateway.serving.answerfacts import AnswerFacts


class Exchange(typing.Protocol):
    """Asked right before bytes go out, and told what comes back.

    What was decided before a connection stood may be wrong by then.
    """

    def begin(self) -> None:
        """Look once more whether anything may be sent.

        :raises NotPermittedError: when it must not be
        """

    def record_head(self, facts: AnswerFacts) -> None:
        """Take what the head of the answer says of the target."""
