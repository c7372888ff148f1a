"""Counts of one rank at one entry."""

import attrs


@attrs.define
class QueueCounts:
    """Requests of a rank that wait, or hold room, and their tokens.

    :param waiting: number of requests that wait for room
    :param waiting_tokens: tokens that they need
    :param running: number of generations that hold room
    :param held_tokens: tokens that those hold
    """

    waiting: int = 0
    waiting_tokens: int = 0
    running: int = 0
    held_tokens: int = 0

    def add(self, other: "QueueCounts") -> None:
        """Add the counts of another entry."""
        self.waiting += other.waiting
        self.waiting_tokens += other.waiting_tokens
        self.running += other.running
        self.held_tokens += other.held_tokens

    def __bool__(self) -> bool:
        return any(attrs.astuple(self))
