"""What a connection to a target carried before a call."""

import attrs


@attrs.frozen
class ConnectionUse:
    """Tells on which connection a call was sent, and what came before it.

    :param connection: number of the connection in this process
    :param earlier_calls: number of calls that it carried before
    """

    connection: int
    earlier_calls: int
