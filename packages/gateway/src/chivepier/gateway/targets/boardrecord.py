"""What an entry keeps of the reports of one incarnation."""

import math

import attrs

from chivepier.gateway.targets.reading import Reading

# Seconds after which reported counts of requests say nothing of the present.
COUNTS_LIFETIME_SECONDS = 1.0
# Seconds after which an unchanged load is told to the other entries again, so
# that it doesn't fade there while it still holds.
REPEAT_SECONDS = COUNTS_LIFETIME_SECONDS / 2


@attrs.define
class BoardRecord:
    """The reports of one incarnation, as an entry keeps them.

    :param reading: the newest report
    :param lowest: lowest reported pace; infinite if none was
    :param highest: highest pace lately
    :param highest_at: when that was reported, in monotonic seconds
    :param sends: when this entry sent requests there lately
    :param told: the last report that the other entries know
    """

    reading: Reading
    lowest: float = math.inf
    highest: float = 0.0
    highest_at: float = -math.inf
    sends: list[float] = attrs.field(factory=list)
    told: Reading | None = None

    def has_news(self) -> bool:
        """Tell whether the other entries should get the newest report."""
        told, reading = self.told, self.reading
        return (
            told is None
            or told.load != reading.load
            or reading.at - told.at >= REPEAT_SECONDS
        )
