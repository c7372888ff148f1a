"""Running chivepier and its stand-ins as processes on loopback."""

import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

KEYS = {
    "CHIVEPIER_CLUSTER_KEY": "cluster-key-of-tests",
    "CHIVEPIER_OPERATOR_KEY": "operator-key-of-tests",
    "CHIVEPIER_DEPLOYMENT_KEY": "deployment-key-of-tests",
}
ZONES = ("a", "b", "c")
BIN = pathlib.Path(sys.executable).parent


# below the range from which the kernel takes ports for outgoing connections
PORTS = range(12_000, 32_000)
# Ports drawn before it counts as sure that too few are free.
MAX_DRAWS = 1_000
RESERVED: dict[int, socket.socket] = {}


def find_port() -> int:
    """Reserve a port for a process that is started later.

    A port that was only found free may be gone when the process binds it:
    to an outgoing connection, or to another test that runs beside this one.
    So it lies outside the kernel's range, and a datagram socket of the same
    number is kept, by which other tests see that it is taken.

    :returns: the port, reserved until it is released or this process ends
    :raises RuntimeError: if no port is found that is free
    """
    rng = random.SystemRandom()
    for _ in range(MAX_DRAWS):
        port = rng.choice(PORTS)
        mark = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            mark.bind(("127.0.0.1", port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            mark.close()
            continue
        RESERVED[port] = mark
        return port
    raise RuntimeError(f"no free port in {MAX_DRAWS} draws")


def release_port(port: int) -> None:
    """Let others use a port whose process has ended.

    :param port: as returned by :func:`find_port`
    """
    RESERVED.pop(port).close()


class LocalCluster:
    """Processes of one small cluster; leaving the context ends them.

    :param folder: where data folders and logs go
    :param disks: instances with a data folder
    :param others: instances without one
    """

    def __init__(self, folder: pathlib.Path, disks: int, others: int):
        self.folder = folder
        self.names = [f"n{i}" for i in range(1, disks + others + 1)]
        self.disks = self.names[:disks]
        self.http = {n: f"127.0.0.1:{find_port()}" for n in self.names}
        self.peer = {n: f"127.0.0.1:{find_port()}" for n in self.names}
        self.processes: dict[str, subprocess.Popen] = {}

    def __enter__(self) -> "LocalCluster":
        return self

    def __exit__(self, *exc) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()

    def start_node(self, name: str) -> None:
        """Start one instance."""
        position = self.names.index(name)
        command = [
            str(BIN / "chivepierd"),
            f"--name={name}",
            f"--zone={ZONES[position % len(ZONES)]}",
            f"--listen={self.http[name]}",
            f"--peer-listen={self.peer[name]}",
            "--address-ttl=1",
            "--fault-hook",
        ]
        command += [f"--seed={self.peer[n]}" for n in self.names if n != name]
        if name in self.disks:
            command.append(f"--data-dir={self.folder / name}")
        self.start(name, command)

    def start_standin(self, module: str, name: str, *options: str) -> None:
        """Start one stand-in target."""
        command = [sys.executable, "-m", f"chivepier.standins.{module}"]
        command += [f"--name={name}", *options]
        key = KEYS["CHIVEPIER_DEPLOYMENT_KEY"]
        command.append(f"--deployment-key={key}")
        command += [f"--entry={a}" for a in self.http.values()]
        self.start(name, command)

    def start(self, name: str, command: list[str]) -> None:
        """Start a process that logs to a file of its name."""
        self.folder.mkdir(parents=True, exist_ok=True)
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, env={**os.environ, **KEYS}, stdout=log, stderr=log
            )

    def run_cli(self, *options: str, check: bool = True):
        """Run the operators' command line to its end."""
        command = [str(BIN / "chivepier")]
        command += [f"--address={a}" for a in self.http.values()]
        return subprocess.run(
            [*command, *options],
            env={**os.environ, **KEYS},
            capture_output=True,
            text=True,
            check=check,
        )

    def call(
        self,
        address: str,
        path: str,
        body: dict | None = None,
        key: str = KEYS["CHIVEPIER_OPERATOR_KEY"],
        timeout: float = 30,
    ) -> tuple[int, dict]:
        """Send JSON, or GET where there is no body.

        :returns: status and parsed answer; status 0 for no answer at all
        """
        request = urllib.request.Request(
            f"http://{address}{path}",
            data=None if body is None else json.dumps(body).encode(),
            headers={
                "Authorization": f"Bearer {key}",
                "Content-Type": "application/json",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, json.loads(answer.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read())
        except OSError as error:
            return 0, {"error": {"kind": "no_answer", "message": str(error)}}

    def status(self, name: str) -> dict:
        """Return what an instance tells operators."""
        return self.call(self.http[name], "/v1/operator/status")[1]

    def cut(self, name: str, *peers: str) -> None:
        """Cut an instance's links to others silently; to none heals."""
        addresses = [self.peer.get(peer, peer) for peer in peers]
        self.call(self.http[name], "/-/faults", {"cut": addresses})

    def wait_until(self, condition, what: str, timeout: float = 30) -> None:
        """Wait for a condition of the running system."""
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError(f"{what} did not come in {timeout}s")
            time.sleep(0.02)

    def is_up(self, name: str, path: str = "/healthz") -> bool:
        """Tell whether an instance answers 200 at a path."""
        try:
            url = f"http://{self.http[name]}{path}"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except (OSError, urllib.error.URLError):
            return False

    def start_all(self) -> None:
        """Start every instance and found the cluster."""
        for name in self.names:
            self.start_node(name)
        for name in self.names:
            self.wait_until(lambda: self.is_up(name), f"{name} up")
        self.run_cli("found", *(self.peer[n] for n in self.disks))
        for name in self.names:
            self.wait_until(
                lambda: self.is_up(name, "/readyz"), f"{name} ready"
            )
