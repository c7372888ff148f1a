"""What a request says of the generation it asks for."""

import attrs


@attrs.frozen(kw_only=True)
class Prompt:
    """Sizes in tokens.

    :param tokens: to be read in
    :param most_output: to be generated at most
    :param guess: the caller's guess of the output, right at the median only
    """

    tokens: int
    most_output: int
    guess: int | None = None

    @property
    def expected_output(self) -> int:
        """Tokens of output to plan with."""
        if self.guess is None:
            return self.most_output // 2
        return min(self.guess, self.most_output)
