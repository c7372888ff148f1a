"""The ways in which the answer of a target can end."""

import enum


class Framing(enum.Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NONE = "none"


class Place(enum.Enum):
    """How much of an answer its target has sent at the end."""

    BEFORE_HEAD = "before the head"
    BEFORE_FIRST = "before the first event"
    WITHIN = "within an event"
    BETWEEN = "between two events"
    AFTER_LAST = "after the last event"


class Manner(enum.Enum):
    """What the connection does at the end."""

    ORDERLY = "orderly close"
    RESET = "reset"
    SILENCE = "silence"


class Incarnation(enum.Enum):
    """What becomes of the process that sent the answer."""

    LIVES = "lives"
    ENDED = "ended"
    LIKE = "replaced by its like"
    SERVICE = "replaced by another service"
    LEAVES = "leaves"


class Reply(enum.Enum):
    """What comes back for the question who answers at the address.

    ``SLOW`` is the word of the incarnation just within the time of a question,
    ``LATE`` an answer after it, ``AGAIN`` a close and then its word, and
    ``UNASKED`` means that the target asked not to be called.
    """

    ITSELF = "itself"
    SLOW = "itself, slowly"
    AGAIN = "closed, then itself"
    ANOTHER = "another"
    REFUSED = "refused"
    CLOSED = "closed"
    RESET = "reset"
    HANGS = "hangs"
    LATE = "late"
    WRONG_ID = "wrong id"
    UNASKED = "unasked"

    @property
    def is_word(self) -> bool:
        """Whether it is the word of the incarnation that is asked for."""
        return self in (Reply.ITSELF, Reply.SLOW, Reply.AGAIN)


class Others(enum.Enum):
    """What becomes of another connection of the entry to the target."""

    NONE = "none"
    OPEN = "open"
    ENDED = "ended"


class Path(enum.Enum):
    """The path of the request, each of which has a route of its own."""

    RESUMABLE = "/resume/x"
    ONCE = "/llm/x"
    PLAIN = "/plain/x"
    REPEATABLE = "/read/x"

    @property
    def streams(self) -> bool:
        """Whether its answers consist of events."""
        return self in (Path.RESUMABLE, Path.ONCE)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self in (Path.RESUMABLE, Path.REPEATABLE)


class Status(enum.Enum):
    """The status in the head of the answer."""

    SUCCESS = 200
    FAILURE = 404


class Entry(enum.Enum):
    """Whether the entry stands still at the end and at the question."""

    AWAKE = "awake"
    SLEPT = "slept"


class Check(enum.Enum):
    """What the next target does, where it is asked what follows.

    ``UNEARNED`` means that the entry has no check left.
    """

    TELLS = "tells"
    UNREACHABLE = "unreachable"
    HANGS = "hangs"
    BREAKS = "breaks before an event"
    PART = "breaks within an event"
    UNEARNED = "unearned"


class Told(enum.Enum):
    """What the caller is told in the end."""

    WHOLE = "whole"
    RESUMED = "whole after another run"
    BROKEN = "broken off"
    ERROR = "error"
    UNCLEAR = "anything else"


class Exclusion(enum.Enum):
    """Why a combination is not played."""

    NO_FRAMING = "before its head an answer has no framing"
    NO_STATUS = "before its head an answer has no status"
    NO_EVENTS = "a plain body has no events to end between"
    LENGTH_REACHED = "what follows a body's length is no part of it"
    NOT_ASKED = "nobody is asked, so one reply stands for all"
    DEAD = "a process that has ended gives no word"
    OWN_ADDRESS = "nobody else has the address of one that lives"
    NO_LISTENER = "where nobody is, nobody answers"
