"""Adds the folder of the adapter to the import path, as its program does.

The bytes of endless answers are shared with the soak.

The tests are not in ``platform/`` because pytest would import that folder in
place of the standard module ``platform``.
"""

import pathlib
import sys

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parents[1]
sys.path[:0] = [str(HERE), str(ROOT / "platform"), str(ROOT)]
