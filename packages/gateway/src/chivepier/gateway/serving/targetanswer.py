"""Interface of an answer of a target."""

import typing

from chivepier.gateway.serving.answerfacts import AnswerFacts


class TargetAnswer(typing.Protocol):
    """The head of an answer and its body, read in chunks.

    ``length`` is ``None`` if the target did not send it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    facts: AnswerFacts

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Cancelling a read loses no data.

        :raises BrokenAnswerError: when the body is incomplete
        """

    def close(self) -> None:
        """Close the connection, which cancels a run that has not ended."""

    def release(self) -> None:
        """Return the connection to the pool once the body is read."""
