"""Orders to end streams early, at the owner."""

import collections.abc

from chivepier.messages import StopOrder
from chivepier.node.permitbook import PermitBook
from chivepier.node.permitrecord import PermitRecord
from chivepier.policy import Stop
from chivepier.types import Clock

STOP_AGAIN_SECONDS = 0.5

OrderStop = collections.abc.Callable[[str, StopOrder], None]


class StopOrders:
    """Orders the entries to stop, until they report the end.

    :param book: the shard's permits
    :param send: sends an order to an entry's peer address
    """

    def __init__(
        self,
        pool: str,
        number: int,
        clock: Clock,
        book: PermitBook,
        send: OrderStop,
    ):
        self._pool = pool
        self._number = number
        self._clock = clock
        self._book = book
        self._send = send

    def give(self, stop: Stop) -> None:
        """Order a stream to end; asked again, nothing changes.

        :param stop: the policy's decision
        """
        record = self._book.get(stop.permit)
        if record is not None and record.stop is None:
            record.stop = StopOrder(
                self._pool, self._number, stop.permit, stop.retry_after
            )
            self._order(record)

    def repeat(self, record: PermitRecord) -> None:
        """Give an order again that may have been lost with a link.

        :param record: a permit, ordered to stop or not
        """
        silent = self._clock.monotonic() - record.heard
        if record.stop is not None and silent > STOP_AGAIN_SECONDS:
            self._order(record)

    def _order(self, record: PermitRecord) -> None:
        record.heard = self._clock.monotonic()
        self._send(record.entry, record.stop)
