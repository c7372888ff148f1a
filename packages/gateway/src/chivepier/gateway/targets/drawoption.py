"""A target that a request may be sent to, by what is known of its load."""

import attrs


@attrs.frozen(kw_only=True)
class DrawOption:
    """What an entry knows of one target.

    :param own: requests that this entry has there itself
    :param requests: requests that it has of all entries, as reported; those
        of this entry if no report is recent
    :param slots: requests that it runs at once
    :param pace: time that work takes there, relative to the usual one
    :param age: age of the report, in seconds
    """

    own: int
    requests: int
    slots: int
    pace: float = 1.0
    age: float = 0.0

    @property
    def cost(self) -> float:
        """Expected time of one more request, in usual times of full slots."""
        return (self.requests + 1) * self.pace / self.slots
