"""Runs the program on a data folder that can lose power."""

import os
import pathlib
import runpy
import sys

from chivepier.state.testing import PoweredFolder

PROGRAM = pathlib.Path(__file__).parents[1] / "platform" / "chivepierd.py"
# Variables with the data folder, and with what of it is synced.
DATA_VARIABLE = "CHIVEPIER_SOAK_DATA"
SHADOW_VARIABLE = "CHIVEPIER_SOAK_SHADOW"


def main() -> None:
    """Note what is synced, and run the program."""
    data = pathlib.Path(os.environ[DATA_VARIABLE])
    shadow = pathlib.Path(os.environ[SHADOW_VARIABLE])
    sys.path.insert(0, str(PROGRAM.parent))
    sys.argv[0] = str(PROGRAM)
    with PoweredFolder(data, shadow):
        runpy.run_path(str(PROGRAM), run_name="__main__")


if __name__ == "__main__":
    main()
