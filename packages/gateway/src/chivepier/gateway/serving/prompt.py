"""Size of the generation that a request asks for."""

import attrs


@attrs.frozen(kw_only=True)
class Prompt:
    """Sizes of the prompt and of the output, in tokens.

    :param tokens: length of the prompt
    :param max_output: maximum length of the output
    :param length_hint: the caller's estimate of the output length, which is
        right only at the median
    """

    tokens: int
    max_output: int
    length_hint: int | None = None

    @property
    def expected_output(self) -> int:
        """Expected length of the output."""
        if self.length_hint is None:
            return self.max_output // 2
        return min(self.length_hint, self.max_output)
