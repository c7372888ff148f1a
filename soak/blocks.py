"""Blocks of loopback addresses, each reserved for one scenario."""

import collections.abc
import contextlib
import socket

BLOCKS = range(1, 250)
LOCK_PORT = 9009


@contextlib.contextmanager
def reserve_block() -> collections.abc.Iterator[int]:
    """Reserve the addresses below 127.N until the context is left.

    Tests run in several processes at once; a bound port in each reserved
    block serves as a lock between them.

    :returns: N, the second byte of the addresses
    :raises OSError: when all blocks are reserved
    """
    for block in BLOCKS:
        with socket.socket() as lock:
            try:
                lock.bind((f"127.{block}.9.9", LOCK_PORT))
            except OSError:
                continue
            lock.listen()
            yield block
            return
    raise OSError("all blocks of loopback addresses are reserved")
