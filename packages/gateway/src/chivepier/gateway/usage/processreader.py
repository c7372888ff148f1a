"""Reads what this process uses."""

import os
import pathlib
import time

STATM = pathlib.Path("/proc/self/statm")
DESCRIPTORS = pathlib.Path("/proc/self/fd")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessReader:
    """Reads the processor time, memory and descriptors of this process.

    Without a free descriptor nothing can be read: the last values hold, so
    that a shortage doesn't seem to be over at its worst.
    """

    def __init__(self) -> None:
        self._memory = self._descriptors = 0

    def read_processor_seconds(self) -> float:
        """Return the processor time used since the start, in seconds."""
        return time.process_time()

    def read_memory_bytes(self) -> int:
        """Return the resident memory in bytes; 0 if never read."""
        try:
            self._memory = int(STATM.read_text().split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            pass
        return self._memory

    def count_descriptors(self) -> int:
        """Return the number of open descriptors; 0 if never read."""
        try:
            # newer kernels tell the number without a list of all
            size = DESCRIPTORS.stat().st_size
            self._descriptors = size or len(os.listdir(DESCRIPTORS))
        except OSError:
            pass
        return self._descriptors
