"""Counting a request as waiting."""

from chivepier.gateway.targets import QueueTracker


class QueueTicket:
    """Counts a request as waiting until the context is left.

    :param queues: the numbers of waiting requests at all entries
    :param service: name of the service that the request waits for
    :param tokens: room that it needs, in tokens
    :param team: its team, if any
    :ivar leaves_room: whether it was left out for a more urgent class
    :ivar behind: whether it was left out for teams that took less
    :ivar rank: the rank that it is counted in; ``None`` until it waits
    :ivar since: when it began to wait, in monotonic seconds
    """

    def __init__(
        self,
        queues: QueueTracker,
        service: str,
        tokens: int = 0,
        team: str = "",
    ):
        self._team = team
        self._queues = queues
        self._tokens = tokens
        self._service = service
        self.rank: int | None = None
        self.leaves_room = self.behind = False
        self.since: float | None = None

    def __enter__(self) -> "QueueTicket":
        return self

    def __exit__(self, *exc) -> None:
        if self.rank is not None:
            self._leave(self.rank)

    def set_rank(self, rank: int) -> None:
        """Count the request as waiting in this rank, and in no other."""
        if rank == self.rank:
            return
        self._queues.enter(self._service, rank, self._tokens, self._team)
        if self.rank is not None:
            self._leave(self.rank)
        self.rank = rank

    def _leave(self, rank: int) -> None:
        self._queues.leave(self._service, rank, self._tokens, self._team)
