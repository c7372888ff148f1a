"""Loopback addresses that one scenario has to itself."""

import collections.abc
import contextlib
import socket

BLOCKS = range(1, 250)
LOCK_PORT = 9009


@contextlib.contextmanager
def reserve_block() -> collections.abc.Iterator[int]:
    """Take the addresses below 127.N until the context is left.

    Tests run in several processes at once; a port that is held says that a
    block is taken.

    :returns: N
    :raises OSError: when all are taken
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
    raise OSError("every block of addresses is taken")
