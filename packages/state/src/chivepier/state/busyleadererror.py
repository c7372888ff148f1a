"""The error of a leader that takes no more commands at the moment."""

from chivepier.state.notleadererror import NotLeaderError


class BusyLeaderError(NotLeaderError):
    """Too many bytes wait for the leader's disk: nothing was committed.

    :param leader: the leader, which refused
    """

    def __str__(self) -> str:
        return f"the disk of the leader {self.leader} is behind"
