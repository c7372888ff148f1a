"""An entry or voter as a real process."""

import collections.abc
import contextlib
import json
import os
import pathlib
import re
import resource
import signal
import subprocess
import sys
import time

import aiohttp

from chivepier.state.testing import PoweredFolder
from chivepier.state.testing import Refusals
from soak.childlog import ChildLog
from soak.linked import PROGRAM_VARIABLE
from soak.linked import VARIABLE as LINKS_VARIABLE
from soak.powered import DATA_VARIABLE
from soak.powered import REFUSALS_VARIABLE
from soak.powered import SHADOW_VARIABLE

ROOT = pathlib.Path(__file__).parents[1]
PROGRAM = ROOT / "platform" / "chivepierd.py"
LINKED_PROGRAM = ROOT / "soak" / "linked.py"
POWERED_PROGRAM = ROOT / "soak" / "powered.py"
# The log of a voter, below its data folder.
VOTER_LOG = "log"
# Timeout of a client request in seconds, above every deadline in use.
SESSION_SECONDS = 6.0
SETTINGS = """node-name={name}
ip={ip}
zone=z
listen.front={ip}:8740
listen.ready={ip}:8749
listen.control={ip}:8748
listen.directory={ip}:8746
port-range=7200,7215
seeds={seeds}
bootstrap={found}
data-dir={folder}/data-{name}
beat-interval-ms=400
bounds.drain-ms=1000
bounds.grace-s={grace:g}
bounds.budget-ratio=0.2
bounds.budget-extra=50
bounds.budget-window-s=10
bounds.ttl_max_s=5
bounds.cold-excess=1.5
bounds.cold-slack=5
fault-tolerance.machines=1
zones.z=r
zones.z1=r
zones.z2=r
zones.z3=r
"""


@contextlib.asynccontextmanager
async def run_all(
    processes: collections.abc.Sequence["Process"],
) -> collections.abc.AsyncIterator[aiohttp.ClientSession]:
    """Run processes that bootstrap a cluster, and yield an HTTP session.

    :param processes: entries and voters; all are killed with the context
    """
    timeout = aiohttp.ClientTimeout(total=SESSION_SECONDS)
    with contextlib.ExitStack() as stack:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for process in processes:
                stack.callback(process.end)
                process.start(found=process.role == "voter")
            yield session


class Process:
    """Starts, signals and kills one process of the program.

    :param role: ``entry`` or ``voter``
    :param ip: its own loopback address, which stands for an instance
    :param seeds: control addresses of the voters
    :param folder: directory for settings, data and logs
    :ivar grace_seconds: seconds from its stop order until it is killed
    :ivar memory_mb: memory of its instance; ``None`` if that isn't named
    :ivar max_descriptors: descriptors that it may have open; ``None`` if that
        isn't named
    :ivar disk: its data, which can lose power; ``None`` if that is not asked
    :ivar refusals: what its disk refuses; ``None`` if that is not asked
    :ivar links: addresses at which it reaches targets, by their own; empty if
        it reaches them directly
    """

    def __init__(
        self, role: str, ip: str, seeds: list[str], folder: pathlib.Path
    ):
        self.role = role
        self.ip = ip
        self.links: dict[str, str] = {}
        self.memory_mb: int | None = None
        self.max_descriptors: int | None = None
        self.grace_seconds = 4.0
        self.disk: PoweredFolder | None = None
        self.refusals: Refusals | None = None
        self._seeds = ",".join(seeds)
        self._folder = folder
        self._child: subprocess.Popen | None = None
        self._log: ChildLog | None = None
        self._file_bytes: int | None = None

    @property
    def name(self) -> str:
        """Role and address, also used in file names."""
        return f"{self.role}-{self.ip}"

    @property
    def pid(self) -> int:
        """Id of the process, which was started."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether the process exists, running or paused."""
        return self._child is not None and self._child.poll() is None

    def start(self, found: bool = False) -> None:
        """Start the process, unless it runs."""
        if self.alive:
            return
        path = self._write_settings(found)
        self._note("started")
        program = PROGRAM
        variables = {"CHIVEPIER_BOOT": str(path)}
        if self.disk is not None:
            program = POWERED_PROGRAM
            variables[DATA_VARIABLE] = str(self._data)
            variables[SHADOW_VARIABLE] = str(self._shadow)
            variables[REFUSALS_VARIABLE] = str(self._refusals)
        if self.links:
            variables[LINKS_VARIABLE] = json.dumps(self.links)
            variables[PROGRAM_VARIABLE] = str(program)
            program = LINKED_PROGRAM
        with open(self._log_path, "ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, str(program), self.role],
                env={**os.environ, **variables},
                stdout=log if self.disk is None else subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
        if self.disk is not None:
            self._limit_files()
            self._log = ChildLog(self._child.stdout, self._log_path)
            self._log.start()

    def limit_files(self, size: int | None) -> None:
        """Let a voter write no file beyond a size, as on a full disk.

        Of a process whose disk can fail.  A write across the size is cut
        there, the next one refused.  Holds for later starts as well.

        :param size: in bytes; ``None`` ends the limit
        """
        self._file_bytes = size
        if self.alive:
            self._note("files_limited", bytes=size)
            self._limit_files()

    def _limit_files(self) -> None:
        pid, limit = self._child.pid, resource.RLIMIT_FSIZE
        # it may have ended meanwhile
        with contextlib.suppress(ProcessLookupError):
            _, most = resource.prlimit(pid, limit)
            size = most if self._file_bytes is None else self._file_bytes
            resource.prlimit(pid, limit, (size, most))

    def read_log_bytes(self) -> int:
        """Return the size of a voter's replicated log."""
        path = self._data / VOTER_LOG
        return path.stat().st_size if path.exists() else 0

    @property
    def _data(self) -> pathlib.Path:
        return self._folder.resolve() / f"data-{self.name}"

    @property
    def _shadow(self) -> pathlib.Path:
        return self._folder.resolve() / f"shadow-{self.name}"

    @property
    def _refusals(self) -> pathlib.Path:
        return self._folder.resolve() / f"refusals-{self.name}"

    def power_disk(self) -> None:
        """Let the disk lose power, stall, and refuse writes."""
        self.disk = PoweredFolder(self._data, self._shadow)
        self.refusals = Refusals(self._refusals)

    def update_seeds(self, seeds: list[str]) -> None:
        """Name other voters in the settings; they are read again."""
        self._seeds = ",".join(seeds)
        self._write_settings(found=False)

    def _write_settings(self, found: bool) -> pathlib.Path:
        path = self._folder / f"{self.name}.conf"
        settings = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            seeds=self._seeds,
            found="true" if found else "false",
            folder=self._folder,
            grace=self.grace_seconds,
        )
        if self.memory_mb is not None:
            settings += f"limits.memory-mb={self.memory_mb}\n"
        if self.max_descriptors is not None:
            settings += f"limits.max-fds={self.max_descriptors}\n"
        fresh = path.with_suffix(".new")
        fresh.write_text(settings)
        fresh.replace(path)
        return path

    @property
    def _log_path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.log"

    def _note(self, event: str, **fields) -> None:
        """Log what is done to the process, among its own lines."""
        line = {"t": round(time.time(), 3), "node": "soak", "event": event}
        with open(self._log_path, "ab") as log:
            log.write(json.dumps(line | fields).encode() + b"\n")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.alive:
            self._note("signalled", signal=number.name)
            self._child.send_signal(number)

    def handles_signal(self, number: int) -> bool:
        """Tell whether the process ignores or handles a signal."""
        if not self.alive:
            return False
        mask = 0
        status = pathlib.Path(f"/proc/{self._child.pid}/status").read_text()
        for line in status.splitlines():
            name, _, value = line.partition(":")
            if name in ("SigIgn", "SigCgt"):
                mask |= int(value, 16)
        return bool(mask >> (number - 1) & 1)

    def read_peak_mb(self) -> float:
        """Return the most memory that the process has held, in MB."""
        status = pathlib.Path(f"/proc/{self._child.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found.group(1)) / 1024

    def read_cpu_seconds(self) -> float:
        """Return the processor time that the process has taken."""
        stat = pathlib.Path(f"/proc/{self._child.pid}/stat").read_text()
        # its name, which may hold spaces, ends with the last parenthesis
        user, system = stat.rpartition(")")[2].split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    @property
    def is_loading(self) -> bool:
        """Whether the process has started to load its libraries."""
        maps = pathlib.Path(f"/proc/{self._child.pid}/maps")
        return self.alive and "site-packages" in maps.read_text()

    def end(self) -> None:
        """Kill and reap the process, also when it is paused."""
        if self._child is not None:
            self._note("killed")
            self._child.kill()
            self._child.wait()
        if self._log is not None:
            self._log.join()
