"""What a request will take of a target."""

import attrs

# Tokens that a generation is expected to add before others beside it have
# ended; its whole length is not known.
NEAR_TERM_OUTPUT_TOKENS = 256


@attrs.frozen(kw_only=True)
class Demand:
    """The size of a generation.

    :param prompt: tokens to read in
    :param output: expected tokens to generate
    :param objective: seconds within which its first event is to come
    """

    prompt: int
    output: int
    objective: float = 0.0

    @property
    def tokens(self) -> int:
        """Memory taken at the end, in tokens."""
        return self.prompt + self.output

    @property
    def near_term_tokens(self) -> int:
        """Memory taken within the next seconds, in tokens."""
        return self.prompt + min(self.output, NEAR_TERM_OUTPUT_TOKENS)
