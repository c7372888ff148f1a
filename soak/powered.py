"""Runs the program on a data folder whose disk can fail."""

import os
import pathlib
import runpy
import sys
import threading

from chivepier.state.testing import PoweredFolder
from chivepier.state.testing import Refusals
from chivepier.state.testing import RefusingDisk

PROGRAM = pathlib.Path(__file__).parents[1] / "platform" / "chivepierd.py"
# Variables with the data folder, with what of it is synced, and with the file
# that says which writes are refused.
DATA_VARIABLE = "CHIVEPIER_SOAK_DATA"
SHADOW_VARIABLE = "CHIVEPIER_SOAK_SHADOW"
REFUSALS_VARIABLE = "CHIVEPIER_SOAK_REFUSALS"


def main() -> None:
    """Note what is synced, refuse writes, and run the program."""
    data = pathlib.Path(os.environ[DATA_VARIABLE])
    shadow = pathlib.Path(os.environ[SHADOW_VARIABLE])
    refusals = Refusals(pathlib.Path(os.environ[REFUSALS_VARIABLE]))
    sys.path.insert(0, str(PROGRAM.parent))
    sys.argv[0] = str(PROGRAM)
    with PoweredFolder(data, shadow), RefusingDisk(data) as disk:
        threading.Thread(
            target=refusals.follow, args=(disk,), daemon=True
        ).start()
        runpy.run_path(str(PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
