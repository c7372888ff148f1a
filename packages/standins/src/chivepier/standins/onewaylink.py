"""Links between processes that fall silent in one direction."""

import typing


class MutedTransport:
    """Drops what is written; everything else is the transport's own.

    :param transport: the transport of a connection
    """

    def __init__(self, transport: typing.Any):
        self._transport = transport

    def write(self, data: bytes) -> None:
        """Drop what would be sent."""

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)


def mute(channel: typing.Any) -> None:
    """Lose all that a channel sends from now on, pings and pongs too.

    :param channel: a channel of the peer links; its peer is not told
    """
    connection = channel._socket
    connection.transport = MutedTransport(connection.transport)


def deafen(channel: typing.Any) -> None:
    """Lose all that a channel would receive from now on.

    :param channel: a channel of the peer links; its peer is not told
    """
    channel._socket.data_received = lambda data: None
