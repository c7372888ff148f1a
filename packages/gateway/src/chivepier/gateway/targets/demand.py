"""The resources that a request needs at a target."""

import attrs

# Output tokens that a generation is expected to add before other generations
# at its target end; its final length is not known.
NEAR_TERM_OUTPUT_TOKENS = 256


@attrs.frozen(kw_only=True)
class Demand:
    """The size of a generation.

    :param prompt: number of prompt tokens
    :param output: expected number of output tokens
    :param objective: target time to the first event, in seconds
    :param gap_objective: target of the longest pause between events, in
        seconds; 0 for none
    """

    prompt: int
    output: int
    objective: float = 0.0
    gap_objective: float = 0.0

    @property
    def tokens(self) -> int:
        """Expected memory use at the end, in tokens."""
        return self.prompt + self.output

    @property
    def near_term_tokens(self) -> int:
        """Expected memory use within the next seconds, in tokens."""
        return self.prompt + min(self.output, NEAR_TERM_OUTPUT_TOKENS)
