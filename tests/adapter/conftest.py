"""Adds the folder of the adapter to the import path, as its program does.

The tests are not in ``platform/`` because pytest would import that folder in
place of the standard module ``platform``.
"""

import pathlib
import sys

HERE = pathlib.Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parents[1] / "platform")]
