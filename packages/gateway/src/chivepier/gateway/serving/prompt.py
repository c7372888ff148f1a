"""What a request says of the generation it asks for."""

import attrs


@attrs.frozen(kw_only=True)
class Prompt:
    """Sizes in tokens.

    :param tokens: to be read in
    :param max_output: to be generated at most
    :param length_hint: the caller's guess of the output, a median at best
    """

    tokens: int
    max_output: int
    length_hint: int | None = None

    @property
    def expected_output(self) -> int:
        """Tokens of output to plan with."""
        if self.length_hint is None:
            return self.max_output // 2
        return min(self.length_hint, self.max_output)
