"""Answering one caller, as an interface."""

import typing


class CallerConnection(typing.Protocol):
    """What serving needs of a caller's connection."""

    async def begin(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Send the head of the answer; once."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the answer as complete."""

    def abort(self) -> None:
        """End the connection so that the answer can't pass for whole."""
