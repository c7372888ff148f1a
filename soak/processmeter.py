"""Memory and descriptors of a process, with what it has not read yet."""

import os
import pathlib
import re

import attrs

# States of connections in the kernel's table that may hold unread bytes.
READABLE_STATES = ("01", "08")
TABLE = pathlib.Path("/proc/net/tcp")


@attrs.define
class ProcessMeter:
    """Measures the most that a process has taken.

    :param pid: the process
    :param ip: address of all its sockets
    :ivar memory_mb: most memory with unread bytes, in MB
    :ivar sockets: most open sockets
    """

    pid: int
    ip: str
    memory_mb: float = 0.0
    sockets: int = 0

    def forget_peak(self) -> None:
        """Have the kernel count the peak from now on."""
        pathlib.Path(f"/proc/{self.pid}/clear_refs").write_text("5")

    def measure(self) -> None:
        """Measure once; the most so far counts."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        resident = int(re.search(r"VmRSS:\s+(\d+) kB", status)[1]) / 1024
        unread = count_unread_bytes(self.ip) / (1 << 20)
        peak = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024
        self.memory_mb = max(self.memory_mb, resident + unread, peak)
        self.sockets = max(self.sockets, self.count_sockets())

    def count_sockets(self) -> int:
        """Return the number of open sockets."""
        folder = f"/proc/{self.pid}/fd"
        return sum(map(_is_socket, pathlib.Path(folder).iterdir()))


def _is_socket(descriptor: pathlib.Path) -> bool:
    try:
        return os.readlink(descriptor).startswith("socket:")
    except FileNotFoundError:
        # closed meanwhile
        return False


def count_unread_bytes(ip: str) -> int:
    """Return what has arrived at connections of an address unread, in bytes.

    :param ip: the address
    """
    local = bytes(reversed([int(part) for part in ip.split(".")])).hex()
    total = 0
    for line in TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        address, state, queues = fields[1], fields[3], fields[4]
        if address.startswith(local.upper()) and state in READABLE_STATES:
            total += int(queues.split(":")[1], 16)
    return total
