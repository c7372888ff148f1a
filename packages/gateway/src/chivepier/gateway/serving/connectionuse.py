"""What a connection to a target carried before a call."""

import attrs


@attrs.frozen
class ConnectionUse:
    """Tells on which connection a call was sent, and what came before it.

    :param connection: number of the connection in this process
    :param earlier_calls: number of calls that it carried before
    :param ambiguous: whether one of these sent the same request, or named
        none either: a late answer to it looks like the answer to this call
    """

    connection: int
    earlier_calls: int
    ambiguous: bool
