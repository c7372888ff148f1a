"""Reads what this process uses."""

import os
import pathlib
import time

STATM = pathlib.Path("/proc/self/statm")
DESCRIPTORS = pathlib.Path("/proc/self/fd")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessReader:
    """Reads the processor time, memory and descriptors of this process."""

    def read_processor_seconds(self) -> float:
        """Return the processor time used since the start, in seconds."""
        return time.process_time()

    def read_memory_bytes(self) -> int:
        """Return the resident memory in bytes; 0 if it can't be read."""
        try:
            return int(STATM.read_text().split()[1]) * PAGE_BYTES
        except (OSError, ValueError, IndexError):
            return 0

    def count_descriptors(self) -> int:
        """Return the number of open descriptors; 0 if it can't be read."""
        try:
            # newer kernels tell the number without a list of all
            size = DESCRIPTORS.stat().st_size
            return size or len(os.listdir(DESCRIPTORS))
        except OSError:
            return 0
