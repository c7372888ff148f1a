"""One planned request."""

import attrs

from chivepier.load.teamload import TeamLoad


@attrs.frozen
class Arrival:
    """When a request starts, for whom, and how long its answer is."""

    at: float
    number: int
    load: TeamLoad
    tokens: int

    @property
    def prompt(self) -> str:
        """The prompt, unlike any other; it tells the stand-in the length."""
        mark = f"#length={self.tokens}# {self.load.team}/{self.number} "
        filler = "An agreement to be explained. "
        missing = max(0, self.load.prompt_chars - len(mark))
        return mark + (filler * (missing // len(filler) + 1))[:missing]
