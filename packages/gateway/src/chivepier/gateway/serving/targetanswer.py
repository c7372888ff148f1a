"""A target's answer, as an interface."""

import typing

from chivepier.gateway.serving.answerfacts import AnswerFacts


class TargetAnswer(typing.Protocol):
    """The head of an answer, and its body as it comes.

    ``length`` is ``None`` where the target did not tell; ``framed`` tells
    whether a body that breaks off differs from one that ends.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    length: int | None
    framed: bool
    facts: AnswerFacts

    async def read(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        A read that is cancelled loses nothing.

        :raises BrokenAnswerError: when the body is not whole
        """

    def close(self) -> None:
        """End the connection, which ends the run where it still goes on."""

    def release(self) -> None:
        """Keep the connection for other requests; the body is read."""
