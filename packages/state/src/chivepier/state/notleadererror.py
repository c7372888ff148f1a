"""The error of asking a voter that does not lead."""


class NotLeaderError(Exception):
    """A command was not accepted here; ``leader`` may be empty."""

    def __init__(self, leader: str):
        super().__init__(f"not the leader; leader is {leader or 'unknown'}")
        self.leader = leader
