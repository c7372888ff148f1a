"""Puts the adapter on the path, as its program does by where it lies.

The tests lie here because their folder's name would be taken for the
standard module ``platform`` when they are collected.
"""

import pathlib
import sys

HERE = pathlib.Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parents[1] / "platform")]
