"""Counting a request as waiting."""

from chivepier.gateway.targets import QueueTracker


class QueueTicket:
    """Counts a request as waiting until the context is left.

    :param queues: the numbers of waiting requests at all entries
    :param service: name of the service that the request waits for
    """

    def __init__(self, queues: QueueTracker, service: str):
        self._queues = queues
        self._service = service
        self._rank: int | None = None

    def __enter__(self) -> "QueueTicket":
        return self

    def __exit__(self, *exc) -> None:
        if self._rank is not None:
            self._queues.leave(self._service, self._rank)

    def set_rank(self, rank: int) -> None:
        """Count the request as waiting in this rank, and in no other."""
        if rank == self._rank:
            return
        self._queues.enter(self._service, rank)
        if self._rank is not None:
            self._queues.leave(self._service, self._rank)
        self._rank = rank
