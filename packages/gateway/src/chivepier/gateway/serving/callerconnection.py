"""Interface of the connection to a caller."""

import typing


class CallerConnection(typing.Protocol):
    """Sends one answer to a caller."""

    @property
    def begun(self) -> bool:
        """Whether the head of the answer was sent."""

    async def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Send the head of the answer; called once."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self, framed: bool) -> None:
        """End the answer as complete.

        :param framed: whether a target's length or chunks told its end, and
            not its word alone
        """

    def abort(self) -> None:
        """Close the connection so that the answer is seen as incomplete."""
