"""What a soak target reports of its load, truly or not."""

import random

# Slots of a soak target, as it announces them.
SLOTS = 8
USUAL_PERCENT = 100
# Time that work takes at a target beside the work of others, in percent.
SLOW_PERCENT = 250
FULL_COUNT = 40
# Values that no target should report: malformed, out of range or too long.
INVALID_VALUES = (
    "",
    "x",
    "1,2",
    "1,2,3,4,5",
    "-1,0,8,100",
    "1,0,0,100",
    "1,0,8,0",
    "1,0,8,nan",
    "9" * 30 + ",0,8,100",
)
MODES = ("honest", "full", "idle", "slow", "invalid", "silent")


class LoadReporter:
    """Reports the load of one target in the manner of its current mode.

    A target that claims to be full, idle or slow though it isn't, must not
    cost callers their answers.

    >>> reporter = LoadReporter(random.Random(1))
    >>> reporter.mode, reporter.running = "honest", 2
    >>> reporter.make_headers()
    {'X-Chivepier-Server-Load': '2,0,8,100'}
    >>> reporter.mode = "silent"
    >>> reporter.make_headers()
    {}

    :param rng: draws among invalid values
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.mode = "silent"
        self.running = 0

    def make_headers(self) -> dict[str, str]:
        """Return the header of the next answer, if it gets one."""
        match self.mode:
            case "silent":
                return {}
            case "invalid":
                value = self._rng.choice(INVALID_VALUES)
            case "full":
                value = f"{SLOTS},{FULL_COUNT},{SLOTS},{USUAL_PERCENT}"
            case "idle":
                value = f"0,0,{SLOTS},{USUAL_PERCENT}"
            case "slow":
                value = f"{self.running},0,{SLOTS},{SLOW_PERCENT}"
            case _:
                value = f"{self.running},0,{SLOTS},{USUAL_PERCENT}"
        return {"X-Chivepier-Server-Load": value}
