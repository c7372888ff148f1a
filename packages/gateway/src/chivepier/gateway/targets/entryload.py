"""The load of one entry at one target."""

import attrs


@attrs.define
class EntryLoad:
    """Absolute counts with the contents of a :class:`LoadRecord`.

    :param copy_ms: time that the entry still needs to copy memory off the
        target, in milliseconds
    :param is_copying: whether the entry copies memory off the target now
    :param avoiding: 1 if the entry avoids the target, else 0
    :param avoided_until: monotonic time until which this entry avoids the
        target, in seconds
    :param heard: monotonic time at which the counts arrived, in seconds
    """

    runs: int = 0
    tokens: int = 0
    reading: int = 0
    copy_ms: int = 0
    is_copying: bool = False
    receiving: int = 0
    avoiding: int = 0
    avoided_until: float = 0.0
    heard: float = 0.0

    @property
    def counts(self) -> tuple[int, int, int, int, bool, int, int]:
        """The counts in the order of the fields of the message."""
        return (
            self.runs,
            self.tokens,
            self.reading,
            self.copy_ms,
            self.is_copying,
            self.receiving,
            self.avoiding,
        )
