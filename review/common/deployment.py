"""A small deployment of the project's programs on loopback addresses.

The commands are those of the deploy file, the settings those of the users'
page on deployment. Everything that is started is ended with the context.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import time

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOCK_PORT = 9011
ZONES = ("hall-a", "hall-b", "hall-c")
SETTINGS = """node-name={name}
role={role}
machine-class={kind}
serves={serves}
ip={ip}
zone={zone}
region=west-midlands
zones.hall-a=west-midlands
zones.hall-b=west-midlands
zones.hall-c=west-midlands
{listen}port-range=7200,7215
seeds={seeds}
bootstrap={bootstrap}
in-fault-budget={counted}
limits.cpu-share=0.537
limits.cores=2
limits.memory-mb=296
limits.max-fds=4096
limits.link-mbps=1000.0
limits.disk-mb={disk}
{data}discovery=registry
entry=directory
beat-interval-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants
fault-tolerance.machines=1
fault-tolerance.zones=0
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.touch-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.stretch-ms=5000
bounds.revoke-strict=false
bounds.revoke-ms=5000
bounds.budget-ratio=0.2
bounds.budget-window-s=10
bounds.budget-extra=56
bounds.recover-s=12
bounds.pass-ms=120
bounds.reuse-window-s=4.4
bounds.ttl_max_s=5
config-mode=highest
"""


class CannotRun(Exception):
    """The case could not be played on this machine."""


def reserve_block():
    """Return a bound socket and the prefix of free loopback addresses."""
    for _ in range(200):
        prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{prefix}.250", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, prefix
    raise CannotRun("no free block of loopback addresses")


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._began = time.monotonic()

    def write(self, text):
        now = time.monotonic() - self._began
        self._file.write(f"{now:8.3f} s  {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Machine:
    """One machine with one process of the project."""

    def __init__(self, deployment, role, number, zone):
        self.deployment = deployment
        self.role = role
        core = role == "voter"
        self.ip = f"{deployment.prefix}.{(10 if core else 100) + number}"
        self.name = f"{'core' if core else 'front'}-{zone}-{number}"
        self.zone = zone
        self.folder = deployment.folder / self.name
        self.child = None

    @property
    def control(self):
        return f"{self.ip}:8748"

    def start(self, bootstrap=False):
        """Start the process with the command of the deploy file."""
        core = self.role == "voter"
        self.folder.mkdir(exist_ok=True)
        ports = (
            (("control", 8748), ("directory", 8746))
            if core
            else (("front", 8740), ("ready", 8749))
        )
        listen = "".join(f"listen.{n}={self.ip}:{p}\n" for n, p in ports)
        data = f"data-dir={self.folder}/data\n" if core else ""
        path = self.folder / "settings.conf"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                role=self.role,
                kind="core" if core else "front",
                serves="control,directory" if core else "front",
                ip=self.ip,
                zone=self.zone,
                listen=listen,
                seeds=",".join(self.deployment.seeds),
                bootstrap="true" if bootstrap else "false",
                counted="true" if core else "false",
                disk=128 if core else 0,
                data=data,
            )
        )
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["CHIVEPIER_BOOT"] = str(path)
        with open(self.folder / "log.txt", "ab") as log:
            self.child = subprocess.Popen(
                ["python3", "platform/chivepierd.py", self.role],
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.deployment.record.write(
            f"platform starts {self.name} at {self.ip},"
            f" bootstrap={str(bootstrap).lower()}"
        )

    @property
    def runs(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.runs:
            name = signal.Signals(number).name
            self.deployment.record.write(f"{name} to {self.name}")
            self.child.send_signal(number)

    async def wait_end(self, seconds):
        """Wait until the process has ended; tell whether it has."""
        end = time.monotonic() + seconds
        while self.runs and time.monotonic() < end:
            await asyncio.sleep(0.05)
        return not self.runs

    def lose_disk(self):
        """Empty the data folder of a process that has ended."""
        assert not self.runs
        shutil.rmtree(self.folder / "data")
        self.deployment.record.write(f"{self.name} has lost its disk")

    def end(self):
        if self.child is not None:
            self.child.kill()
            self.child.wait()


class Deployment:
    """Voters and entries in three zones, with a session for stand-ins."""

    def __init__(self, folder, prefix, record, voters, entries):
        self.folder = pathlib.Path(folder)
        self.prefix = prefix
        self.record = record
        self.voters = [
            Machine(self, "voter", n, ZONES[n % 3]) for n in range(voters)
        ]
        self.entries = [
            Machine(self, "entry", n, ZONES[n % 3]) for n in range(entries)
        ]
        self.spares = []
        self.seeds = [voter.control for voter in self.voters[:3]]
        self.session = None

    def add_voter(self, zone):
        """Return a machine that is not started, at an address of its own."""
        number = len(self.voters) + len(self.spares)
        machine = Machine(self, "voter", number, zone)
        self.spares.append(machine)
        return machine

    @contextlib.asynccontextmanager
    async def run(self):
        """Start all machines, and end all that run with the context."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as self.session:
                for machine in (*self.voters, *self.entries):
                    machine.start(bootstrap=True)
                yield self
        finally:
            for machine in (*self.voters, *self.entries, *self.spares):
                machine.end()

    async def call_control(self, method, machine, path, body=None):
        """Send one call of the operator; return status and body."""
        url = f"http://{machine.control}{path}"
        try:
            async with self.session.request(
                method, url, data=body, allow_redirects=True
            ) as answer:
                return answer.status, await answer.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, repr(error).encode()

    async def put_config(self, config, seconds, machines=None):
        """Send a configuration to one node after the other until it is acked.

        :returns: the node that has acknowledged it, ``None`` if none has
        """
        body = json.dumps(config).encode()
        end = time.monotonic() + seconds
        version, sent = config["version"], 0
        self.record.write(f"operator sends configuration {version}")
        while time.monotonic() < end:
            for machine in machines or self.voters:
                sent += 1
                status, _ = await self.call_control(
                    "PUT", machine, "/chivepier/config", body
                )
                if status == 200:
                    self.record.write(
                        f"configuration {version} acknowledged by"
                        f" {machine.name} (call {sent})"
                    )
                    return machine
                if 400 <= status < 500 and status not in (408, 429):
                    raise CannotRun(f"configuration refused: {status}")
                await asyncio.sleep(0.1)
        self.record.write(
            f"configuration {version} not acknowledged in {seconds} s,"
            f" {sent} calls"
        )
        return None

    async def read_config(self, seconds, machines):
        """Read the configuration at one node after the other.

        :returns: the version that was read, ``None`` if none came
        """
        end, statuses = time.monotonic() + seconds, {}
        while time.monotonic() < end:
            for machine in machines:
                status, body = await self.call_control(
                    "GET", machine, "/chivepier/config"
                )
                statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    version = json.loads(body)["version"]
                    self.record.write(
                        f"{machine.name} answers a read with configuration"
                        f" {version}"
                    )
                    return version
                await asyncio.sleep(0.2)
        self.record.write(
            f"no read was answered in {seconds} s; statuses: {statuses}"
        )
        return None
