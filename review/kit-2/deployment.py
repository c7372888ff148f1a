"""A small deployment on loopback addresses, for the scripts of a review.

It starts the project's programs with the commands of the deploy file, and
holds stand-ins for servers, clients and the operator. All of it uses the
standard library alone.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Seconds after which a case is given up.
MAX_SECONDS = 100
VOTERS, ENTRIES = 3, 2
FRONT, READY, CONTROL, DIRECTORY = 8740, 8749, 8748, 8746
SERVER, METRICS, PEERS = 8080, 9464, range(7200, 7216)
PORTS = (FRONT, READY, CONTROL, DIRECTORY, SERVER, METRICS, *PEERS)
# Seconds between two heartbeats of a server.
BEAT_SECONDS = 1.2
CONFIG_PATH = "/chivepier/config"
REQUEST_ID = "X-Chivepier-Request-Id"
KEY = "k1"
# Seconds in which the operator gets a clear response.
ORDER_SECONDS = 10
SETTINGS = """node-name={name}
role={role}
machine-class={machine}
serves={serves}
ip={ip}
zone=z
region=r
zones.z=r
{listen}
port-range=7200,7215
seeds={seeds}
bootstrap={bootstrap}
in-fault-budget={counted}
limits.cpu-share=0.8
limits.cores=1
limits.memory-mb=296
limits.max-fds=4096
limits.link-mbps=1000.0
limits.disk-mb={disk}
{data}
discovery=registry
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


def choose_block():
    """Return the second byte of loopback addresses whose ports are free."""
    blocks = list(range(30, 250))
    random.shuffle(blocks)
    for block in blocks:
        hosts = [f"127.{block}.{n}.{m}" for n in (1, 2, 3) for m in (1, 2, 3)]
        if all(is_free(host, port) for host in hosts for port in PORTS):
            return block
    raise RuntimeError("no free loopback addresses")


def is_free(host, port):
    """Tell whether a port of a loopback address can be listened on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Process:
    """An entry or a voter, started as the platform starts it."""

    def __init__(self, role, ip, seeds, folder):
        self.ip = ip
        self._role, self._seeds, self._folder = role, seeds, folder
        self._name = f"{role}-{ip}"
        self._child = None

    def start(self):
        """Write the settings file and start the process."""
        path = self._folder / f"{self._name}.conf"
        path.write_text(self._make_settings())
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["CHIVEPIER_BOOT"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._folder / f"{self._name}.log", "ab") as log:
            self._child = subprocess.Popen(
                ["python3", "platform/chivepierd.py", self._role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _make_settings(self):
        is_voter = self._role == "voter"
        ip, data = self.ip, self._folder / f"data-{self._name}"
        listen = f"listen.front={ip}:{FRONT}\nlisten.ready={ip}:{READY}"
        if is_voter:
            data.mkdir()
            listen = (
                f"listen.control={ip}:{CONTROL}\n"
                f"listen.directory={ip}:{DIRECTORY}"
            )
        return SETTINGS.format(
            name=self._name,
            role=self._role,
            machine="core" if is_voter else "front",
            serves="control,directory" if is_voter else "front",
            ip=ip,
            listen=listen,
            seeds=",".join(self._seeds),
            bootstrap="true" if is_voter else "false",
            counted="true" if is_voter else "false",
            disk=128 if is_voter else 0,
            data=f"data-dir={data}" if is_voter else "",
        )

    def end(self):
        """Kill the process, if it was started."""
        if self._child is not None:
            self._child.kill()
            self._child.wait()


class Server:
    """A server of a service, which announces itself to the voters.

    :ivar behave: coroutine function that answers a request; it returns
        whether it has, and the server answers with its name where it hasn't
    :ivar arrived: id, head and body of each request, in order
    """

    def __init__(self, ip, service, controls, record):
        self.service = service
        self.id = "i-" + secrets.token_hex(5)
        self.record = record
        self.behave = None
        self.arrived = []
        self._ip, self._controls = ip, controls
        self._beats = 0
        self._listener = self._task = None

    async def start(self):
        """Listen, and begin to announce itself."""
        self._listener = await asyncio.start_server(
            self._serve, self._ip, SERVER
        )
        self._task = asyncio.create_task(self._announce())

    def stop(self):
        """Listen and announce no more."""
        if self._task is not None:
            self._task.cancel()
            self._listener.close()

    async def _announce(self):
        while True:
            self._beats += 1
            body = {
                "service": self.service,
                "address": f"{self._ip}:{SERVER}",
                "zone": "z",
                "version": "v1",
                "slots": 24,
                "state": "ready",
                "cold-left-ms": 0,
                "seq": self._beats,
            }
            path, data = f"/chivepier/instances/{self.id}", json.dumps(body)
            for control in self._controls:
                status, _, _ = await call(control, "PUT", path, data.encode())
                if 200 <= status < 300:
                    break
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(self, reader, writer):
        closed = (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        )
        with contextlib.suppress(*closed):
            while True:
                await self._answer_next(reader, writer)
        writer.close()

    async def _answer_next(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        line, headers = parse_head(head)
        body = await read_body(reader, headers)
        path = line.split()[1]
        rid = headers.get(REQUEST_ID.lower(), "")
        echo = f"{REQUEST_ID}: {rid}\r\n" if rid else ""
        expected = headers.get("x-chivepier-expect-instance", self.id)
        if path.startswith("/health"):
            status, data = "200 OK", b""
            echo += f"X-Chivepier-Instance-Id: {self.id}\r\n"
        elif expected != self.id:
            status, data = "421 Misdirected", b""
            echo += "X-Chivepier-Not-Run: 1\r\n"
        elif path.startswith("/chivepier/"):
            status, data = "404 Not Found", b""
        else:
            self.arrived.append((rid, head, body))
            self.record(
                "server", self.id, "of", self.service, "got", rid, line
            )
            if self.behave is not None and await self.behave(
                self, writer, headers
            ):
                return
            status = "200 OK"
            data = json.dumps({"by": self.id, "id": rid}).encode()
            echo += f"X-Chivepier-Server-Stamp: {self.id}.1\r\n"
        length = f"Content-Length: {len(data)}\r\n"
        answer = f"HTTP/1.1 {status}\r\n{echo}{length}\r\n"
        writer.write(answer.encode("latin-1") + data)
        await writer.drain()


def parse_head(head):
    """Return the first line of a head, and its fields by lower-case name."""
    line, *fields = head.decode("latin-1").split("\r\n")
    headers = {}
    for field in filter(None, fields):
        name, _, value = field.partition(":")
        headers.setdefault(name.lower(), value.strip())
    return line, headers


async def read_body(reader, headers):
    """Return the body that a head announces."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def call(
    address, method, path, body=b"", headers=(), host=None, seconds=1.0
):
    """Send one request over a new connection.

    :returns: status, headers and body of the answer; status 0 without one
    """
    ip, _, port = address.rpartition(":")
    fields = [
        ("Host", host or address),
        ("Content-Length", len(body)),
        *headers,
    ]
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                writer.write(head.encode("latin-1") + b"\r\n" + body)
                line, found = parse_head(await reader.readuntil(b"\r\n\r\n"))
                data = await read_body(reader, found)
                return int(line.split()[1]), found, data
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, {}, repr(error).encode()


def make_config(version, routes):
    """Return a configuration.

    :param routes: name, kind, service and further fields of each route, whose
        path prefix is its name
    """
    fields = {
        "host": "h.example",
        "timeout-ms": 6000,
        "slo-ms": 1000,
        "priority": 1,
        "max-attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    services = sorted({service for _, _, service, _ in routes})
    return {
        "version": version,
        "routes": [
            fields
            | {
                "name": name,
                "path-prefix": f"/{name}/",
                "kind": kind,
                "service": service,
            }
            | more
            for name, kind, service, more in routes
        ],
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 100,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t1", "api-keys": [KEY], "priority": 1}],
    }


class Deployment:
    """Three voters, two entries, and the servers of a case.

    :ivar controls: addresses of the voters' control interface
    :ivar lines: what was sent, answered and run
    :ivar broken: where the rule was broken
    """

    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self._base = f"127.{choose_block()}"
        ips = [f"{self._base}.1.{n + 1}" for n in range(VOTERS)]
        self.controls = [f"{ip}:{CONTROL}" for ip in ips]
        self.voters = [
            Process("voter", ip, self.controls, self.folder) for ip in ips
        ]
        self.entries = [
            Process(
                "entry", f"{self._base}.2.{n + 1}", self.controls, self.folder
            )
            for n in range(ENTRIES)
        ]
        self.servers, self.lines, self.broken = [], [], []
        self._began = time.monotonic()

    def record(self, *words):
        """Add a line to the record."""
        text = " ".join(map(str, words))
        self.lines.append(f"{time.monotonic() - self._began:9.3f} {text}")

    def check(self, holds, *words):
        """Record a check of the rule, and whether it held."""
        if not holds:
            self.broken.append(words)
        self.record("held:" if holds else "BROKEN:", *words)

    def add_server(self, service):
        """Return a server that is started with the deployment."""
        ip = f"{self._base}.3.{len(self.servers) + 1}"
        server = Server(ip, service, self.controls, self.record)
        self.servers.append(server)
        return server

    @contextlib.asynccontextmanager
    async def run(self, config):
        """Run all, from the time at which entries serve by a configuration."""
        try:
            for process in (*self.voters, *self.entries):
                process.start()
            for server in self.servers:
                await server.start()
            await self._wait(self._configure, json.dumps(config).encode())
            await self._wait(self._are_ready)
            # the servers have announced themselves to all
            await asyncio.sleep(BEAT_SECONDS)
            yield
        finally:
            for process in (*self.voters, *self.entries):
                process.end()
            for server in self.servers:
                server.stop()
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _wait(self, is_done, *args):
        async with asyncio.timeout(30):
            while not await is_done(*args):
                await asyncio.sleep(0.2)

    async def _configure(self, body):
        status, _, _ = await call(self.controls[0], "PUT", CONFIG_PATH, body)
        return status == 200

    async def _are_ready(self):
        answers = [
            await call(f"{entry.ip}:{READY}", "GET", "/chivepier/ready")
            for entry in self.entries
        ]
        return all(status == 200 for status, _, _ in answers)

    async def order(self, control, body):
        """Send a configuration as the operator does, until it is answered.

        A call without a clear response is sent again unchanged, to any node.

        :returns: whether it was acknowledged; otherwise it was refused
        :raises TimeoutError: without a clear response
        """
        nodes = itertools.cycle([control, *self.controls])
        async with asyncio.timeout(ORDER_SECONDS):
            while True:
                node = next(nodes)
                self.record("operator sends to", node, body.decode())
                status, _, _ = await call(node, "PUT", CONFIG_PATH, body)
                self.record("operator gets", status)
                if 200 <= status < 300:
                    return True
                if 400 <= status < 500 and status not in (408, 429):
                    return False
                await asyncio.sleep(0.2)

    async def read_version(self, control):
        """Return the version that the operator reads.

        :raises TimeoutError: if none is answered
        """
        async with asyncio.timeout(ORDER_SECONDS):
            while True:
                status, _, body = await call(control, "GET", CONFIG_PATH)
                self.record("operator reads", status)
                if status == 200:
                    return json.loads(body)["version"]
                await asyncio.sleep(0.2)

    async def ask(self, entry, path, rid, body=b"x", headers=()):
        """Send a request as a client; return status and body."""
        own = [
            (REQUEST_ID, rid),
            ("X-Chivepier-Deadline-Ms", 3000),
            ("X-Api-Key", KEY),
        ]
        status, _, data = await call(
            f"{entry.ip}:{FRONT}",
            "POST",
            path,
            body,
            own + list(headers),
            "h.example",
            4.0,
        )
        self.record("client sent", rid, "to", entry.ip, path, "got", status)
        return status, data

    def find(self, rid):
        """Return head and body of each run of a request."""
        return [
            (head, body)
            for server in self.servers
            for found, head, body in server.arrived
            if found == rid
        ]


def play(folder, scenario):
    """Play a case, and exit with 1 if its rule broke, 0 if not, else 2.

    :param folder: the folder of the case, which gets the record
    :param scenario: coroutine function that takes the deployment, and whether
        there is trouble
    """
    try:
        deployment = Deployment()
    except Exception as error:
        print("the case could not run:", repr(error))
        raise SystemExit(2) from None

    async def play_in_time():
        async with asyncio.timeout(MAX_SECONDS):
            await scenario(deployment, TROUBLE)

    # so that a run that is stopped ends its processes, too
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        asyncio.run(play_in_time())
        status = 1 if deployment.broken else 0
    except Exception as error:
        deployment.record("the case could not run:", repr(error))
        status = 2
    verdict = ("the rule held", "the rule was broken", "not run")[status]
    lines = [f"TROUBLE={int(TROUBLE)}", *deployment.lines, verdict]
    (pathlib.Path(folder) / "record.txt").write_text("\n".join(lines) + "\n")
    print(verdict)
    raise SystemExit(status)
