"""The ways in which a stream breaks off, and in which it may go on."""

import enum


class Break(enum.Enum):
    """What the first target's connection does at the break.

    ``HEAD`` and ``TEXT`` are errors that are written into it.
    """

    RESET = "reset"
    CLOSE = "close"
    HEAD = "head"
    TEXT = "text"

    @property
    def is_foreign(self) -> bool:
        """Whether something that is no event is written."""
        return self in (Break.HEAD, Break.TEXT)


class Way(enum.Enum):
    """How the next target is asked for what follows.

    ``FORWARDED`` is a request that another entry serves from its start, and
    ``REST`` one of which another entry serves the rest. ``TAKEN_UP`` is the
    attempt of a caller that has events, ``TAKEN_UP_FORWARDED`` the same over
    another entry. ``MOVED`` goes on from a copy, ``SOURCE`` where the run was
    stopped for one; both are for runs that may not be sent again, as ``ONCE``.
    """

    RERUN = "rerun"
    FORWARDED = "forwarded"
    REST = "forwarded rest"
    MOVED = "moved"
    SOURCE = "back at the source"
    ONCE = "may run once"
    TAKEN_UP = "taken up"
    TAKEN_UP_FORWARDED = "taken up over another entry"

    @property
    def moves(self) -> bool:
        """Whether the run is stopped for a move."""
        return self in (Way.MOVED, Way.SOURCE)

    @property
    def is_taken_up(self) -> bool:
        """Whether the caller has the events of an earlier attempt."""
        return self in (Way.TAKEN_UP, Way.TAKEN_UP_FORWARDED)

    @property
    def is_forwarded(self) -> bool:
        """Whether another entry serves the request from its start."""
        return self in (Way.FORWARDED, Way.TAKEN_UP_FORWARDED)

    @property
    def path(self) -> str:
        """The path of the request, which chooses its route."""
        return "/llm/x" if self.moves or self is Way.ONCE else "/resume/x"


class Kind(enum.Enum):
    """What a target's answer is."""

    FIRST = "the first body"
    SOUND = "all that follows"
    REPEATS = "the whole series"
    NOTHING = "no event"
    CUT = "broken off"
    CLOSES = "closed without a length"
    HEAD = "an answer that is no rest"
    PIECE = "no event where one is due"
    REFUSED = "a refusal that ran nothing"
    LOST = "no answer"
    UNREACHABLE = "no connection"

    @property
    def follows(self) -> bool:
        """Whether it is what comes where a rest is due."""
        return self is not Kind.FIRST
