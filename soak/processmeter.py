"""Memory and descriptors of a process, with what it has not read yet."""

import collections.abc
import os
import pathlib
import re

import attrs

# States of connections in the kernel's table that may hold unread bytes.
READABLE_STATES = ("01", "08")
TABLE = pathlib.Path("/proc/net/tcp")
SOCKET = re.compile(r"socket:\[(\d+)\]")


@attrs.define
class ProcessMeter:
    """Measures the most that a process has taken.

    :param pid: the process
    :ivar memory_mb: most memory with unread bytes, in MB
    :ivar sockets: most open sockets
    """

    pid: int
    memory_mb: float = 0.0
    sockets: int = 0

    def forget_peak(self) -> None:
        """Have the kernel count the peak from now on."""
        pathlib.Path(f"/proc/{self.pid}/clear_refs").write_text("5")

    def measure(self) -> None:
        """Measure once; the most so far counts."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        resident = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) / 1024
        peak = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024
        sockets = self._list_sockets()
        unread = count_unread_bytes(sockets) / (1 << 20)
        self.memory_mb = max(self.memory_mb, resident + unread, peak)
        self.sockets = max(self.sockets, len(sockets))

    def _list_sockets(self) -> set[str]:
        """Return the inodes of the open sockets."""
        folder = pathlib.Path(f"/proc/{self.pid}/fd")
        links = map(_read_link, folder.iterdir())
        return {
            found[1] for link in links if (found := SOCKET.fullmatch(link))
        }


def _read_link(descriptor: pathlib.Path) -> str:
    try:
        return os.readlink(descriptor)
    except FileNotFoundError:
        # closed meanwhile
        return ""


def count_unread_bytes(inodes: collections.abc.Container[str]) -> int:
    """Return what has arrived at connections unread, in bytes.

    :param inodes: inodes of their sockets; those to targets have addresses
        that tell nothing of the process
    """
    total = 0
    for line in TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        state, queues, inode = fields[3], fields[4], fields[9]
        if inode in inodes and state in READABLE_STATES:
            total += int(queues.split(":")[1], 16)
    return total
