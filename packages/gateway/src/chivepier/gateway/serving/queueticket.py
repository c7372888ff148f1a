"""A request's place among those that wait."""

from chivepier.gateway.targets import QueueBoard


class QueueTicket:
    """Counts a request while it waits; leaving the context ends that.

    :param board: the counts of all entries
    :param service: whose targets it waits for
    """

    def __init__(self, board: QueueBoard, service: str):
        self._board = board
        self._service = service
        self._rank: int | None = None

    def __enter__(self) -> "QueueTicket":
        return self

    def __exit__(self, *exc) -> None:
        if self._rank is not None:
            self._board.leave(self._service, self._rank)

    def set_rank(self, rank: int) -> None:
        """Note that it waits on, in this rank."""
        if rank == self._rank:
            return
        self._board.enter(self._service, rank)
        if self._rank is not None:
            self._board.leave(self._service, self._rank)
        self._rank = rank
