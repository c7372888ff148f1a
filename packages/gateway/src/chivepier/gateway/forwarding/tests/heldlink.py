"""A link that holds back what goes over it in one direction."""

import typing

from chivepier.standins.onewaylink import MutedTransport


class HeldLink:
    """Holds back what a channel sends, or what it receives.

    :param channel: a channel of the peer links; its peer is not told
    :param is_sent: whether what it sends is held back
    """

    def __init__(self, channel: typing.Any, is_sent: bool):
        self._connection = channel._socket
        self._held: list[bytes] = []
        if is_sent:
            self._deliver = self._connection.transport.write
            transport = MutedTransport(self._connection.transport)
            transport.write = self._held.append
            self._connection.transport = transport
        else:
            self._deliver = self._connection.data_received
            self._connection.data_received = self._held.append

    def release(self) -> None:
        """Let what was held back arrive."""
        for data in self._held:
            self._deliver(data)
        self._held.clear()
