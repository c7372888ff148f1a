"""What one step of the batch costs."""

import attrs


@attrs.frozen(kw_only=True)
class Costs:
    """Seconds of a step: a base, a part per stream, a part per new token.

    The shape of a real engine's step: decoding is bound by memory traffic,
    which grows slowly with the batch; prefill is bound by arithmetic.
    """

    base: float = 0.006
    per_stream: float = 0.0002
    per_prefill: float = 0.00002
    prefill_chunk: int = 2048

    def step(self, streams: int, prefill: int) -> float:
        """Return a step's length.

        >>> Costs(base=1, per_stream=2, per_prefill=3).step(1, 2)
        9

        :param streams: streams that decode in it
        :param prefill: prompt tokens computed in it
        :returns: seconds
        """
        decode = self.base + self.per_stream * streams
        return decode + self.per_prefill * prefill
