"""Counting a request as waiting."""

from chivepier.gateway.targets import QueueTracker


class QueueTicket:
    """Counts a request as waiting until the context is left.

    :param queues: the numbers of waiting requests at all entries
    :param service: name of the service that the request waits for
    :param tokens: room that it needs, in tokens
    :ivar held_back: whether it was left out for a more urgent class
    """

    def __init__(self, queues: QueueTracker, service: str, tokens: int = 0):
        self._queues = queues
        self._tokens = tokens
        self._service = service
        self._rank: int | None = None
        self.held_back = False

    def __enter__(self) -> "QueueTicket":
        return self

    def __exit__(self, *exc) -> None:
        if self._rank is not None:
            self._queues.leave(self._service, self._rank, self._tokens)

    def set_rank(self, rank: int) -> None:
        """Count the request as waiting in this rank, and in no other."""
        if rank == self._rank:
            return
        self._queues.enter(self._service, rank, self._tokens)
        if self._rank is not None:
            self._queues.leave(self._service, self._rank, self._tokens)
        self._rank = rank
