"""A target's answer, as an interface."""

import collections.abc
import typing

from chivepier.gateway.serving.answerfacts import AnswerFacts


class TargetAnswer(typing.Protocol):
    """The head of an answer, and its body as it comes.

    ``length`` is ``None`` where the target did not tell.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    facts: AnswerFacts

    def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the body; raise ``AnswerCutError`` when it is not whole."""

    def close(self) -> None:
        """End the connection, which ends the run where it still goes on."""

    def release(self) -> None:
        """Keep the connection for other requests; the body is read."""
