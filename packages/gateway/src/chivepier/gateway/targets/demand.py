"""What a request will take of a target."""

import attrs


@attrs.frozen(kw_only=True)
class Demand:
    """The size of a generation.

    :param prompt: tokens to read in
    :param output: expected tokens to generate
    """

    prompt: int
    output: int

    @property
    def tokens(self) -> int:
        """Memory taken at the end, in tokens."""
        return self.prompt + self.output
