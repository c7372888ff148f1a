"""A request that is ended, at the latest, with this process."""

import asyncio

import attrs

from chivepier.types import Ran


@attrs.define(eq=False)
class RequestHold:
    """A request that has no whole answer yet.

    :param timeout: ends it
    :param ran: whether it may have run
    :param ended: whether it was ended with this process
    """

    timeout: asyncio.Timeout
    ran: Ran = Ran.NO
    ended: bool = False
