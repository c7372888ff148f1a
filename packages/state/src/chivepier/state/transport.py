"""How voters reach each other, as an interface."""

import typing


class Transport(typing.Protocol):
    """What the log needs of peer links."""

    async def request(
        self, peer: str, value: typing.Any, timeout: float
    ) -> typing.Any:
        """Ask a peer and return its answer, or raise ``LinkError``."""
