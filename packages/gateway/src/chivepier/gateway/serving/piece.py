"""What a part of a body is to the series of events of its stream."""

import enum


class Piece(enum.Enum):
    """What stands between two ends of events in a body."""

    NEXT = "next"
    # an event that the caller has
    KNOWN = "known"
    # comments and empty lines
    SILENT = "silent"
    # lines that are no fields of an event, as of an error's text or head
    TEXT = "text"
    # an event without a number in a series of numbered ones
    UNNUMBERED = "unnumbered"
    # an event whose number does not rise
    BACKWARDS = "backwards"

    @property
    def is_foreign(self) -> bool:
        """Whether it is no part of the series, which broke off before it."""
        return self in (Piece.TEXT, Piece.UNNUMBERED, Piece.BACKWARDS)
