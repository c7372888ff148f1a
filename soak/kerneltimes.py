"""What the kernel knows of a connection, however late its loop is."""

import asyncio
import socket
import struct
import time

# Size of the kernel's record of a connection as far as it is read here, and
# the place of the milliseconds since data was last received.
INFO_BYTES = 104
LAST_RECEIVED_OFFSET = 52
ESTABLISHED = 1
# Longest tick in which the kernel counts these milliseconds, in seconds.
TICK_SECONDS = 0.01


def measure_arrival(transport: asyncio.BaseTransport) -> float:
    """Return when the last bytes of a connection arrived, or a tick later.

    :param transport: the connection
    :returns: time in monotonic seconds; now if the connection has ended
    """
    now = time.monotonic()
    info = _read_info(transport)
    if info is None:
        return now
    (age_ms,) = struct.unpack_from("I", info, LAST_RECEIVED_OFFSET)
    return min(now, now - age_ms / 1000 + TICK_SECONDS)


def is_open(transport: asyncio.BaseTransport) -> bool:
    """Tell whether neither side has closed a connection."""
    info = _read_info(transport)
    return info is not None and info[0] == ESTABLISHED


def _read_info(transport: asyncio.BaseTransport) -> bytes | None:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        return None
