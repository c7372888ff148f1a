"""A rush of callers at targets that bear few refusals."""

import pathlib

from soak.brittletarget import BrittleTarget
from soak.pressscenario import PressScenario

TARGETS = 4
# Refusals within a second that a target bears.
BEARABLE = 3


class BrittleScenario(PressScenario):
    """Runs entries, voters, brittle targets, and callers that press.

    :param folder: directory for settings, data and logs
    :param block: second byte of the loopback addresses
    :param seed: seed of the random number generator
    :param entries: number of entries
    :param callers: number of callers, each with one request at a time
    """

    def __init__(
        self,
        folder: pathlib.Path,
        block: int,
        seed: int,
        entries: int,
        callers: int,
    ):
        super().__init__(
            folder, block, seed, entries, TARGETS, callers, BrittleTarget
        )
