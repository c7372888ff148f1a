"""What one entry runs at one target."""

import attrs


@attrs.define
class EntryLoad:
    """Absolute counts, as :class:`LoadRecord` carries them.

    :param avoided_until: until when this entry avoids the target, in
        monotonic seconds
    :param heard: when they were said, in monotonic seconds
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
        """The counts, in the order of the message's fields."""
        return (
            self.runs,
            self.tokens,
            self.reading,
            self.copy_ms,
            self.is_copying,
            self.receiving,
            self.avoiding,
        )
