"""Sending a request no more than once."""

import aiohttp


class DispatchedTwiceError(Exception):
    """The HTTP library was about to send the request again."""


class DispatchGuard:
    """A client middleware that lets one request pass.

    The library sends PUT and DELETE again on its own when a connection is
    lost before the answer: a case record would be written twice although
    nobody asked for a retry.  The second sending is stopped here, inside the
    library, before a byte of it leaves.
    """

    def __init__(self) -> None:
        self._used = False

    async def __call__(
        self,
        request: aiohttp.ClientRequest,
        handler: aiohttp.ClientHandlerType,
    ) -> aiohttp.ClientResponse:
        """Pass the request on, once."""
        if self._used:
            raise DispatchedTwiceError
        self._used = True
        try:
            return await handler(request)
        except aiohttp.ClientConnectorError:
            # there was no connection, so nothing was sent
            self._used = False
            raise
