"""A small deployment on loopback addresses, for the scripts of a review.

It starts the project's programs with the commands of the deploy file, and
holds stand-ins for a server, a client and the operator. All of it uses the
standard library alone.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import secrets
import socket
import shutil
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = """node-name={name}
role={role}
machine-class={cls}
serves={serves}
ip={ip}
zone=z
region=r
zones.z=r
{listen}
port-range={low},{high}
seeds={seeds}
bootstrap={boot}
in-fault-budget={budget}
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


PORTS = (8740, 8746, 8748, 8749, 8080, 9464, *range(7200, 7216))


def choose_block(machines):
    """Return the second byte of loopback addresses whose ports are free."""
    blocks = list(range(30, 250))
    random.shuffle(blocks)
    for block in blocks:
        hosts = [f"127.{block}.{n}.{m}" for n in (1, 2, 3) for m in range(1, machines + 1)]
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
        self.role, self.ip, self.folder, self.seeds = role, ip, folder, seeds
        self.name = f"{role}-{ip}"
        self.child = None

    def start(self, boot=False):
        voter = self.role == "voter"
        text = SETTINGS.format(
            name=self.name, role=self.role, ip=self.ip,
            cls="core" if voter else "front",
            serves="control,directory" if voter else "front",
            listen=(f"listen.control={self.ip}:8748\nlisten.directory={self.ip}:8746" if voter
                    else f"listen.front={self.ip}:8740\nlisten.ready={self.ip}:8749"),
            low=7200, high=7215, seeds=",".join(self.seeds),
            boot="true" if boot else "false",
            budget="true" if voter else "false",
            disk=128 if voter else 0,
            data=f"data-dir={self.folder}/data-{self.name}" if voter else "",
        )
        path = self.folder / f"{self.name}.conf"
        path.write_text(text)
        if voter:
            (self.folder / f"data-{self.name}").mkdir(exist_ok=True)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env |= {"CHIVEPIER_BOOT": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = open(self.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen(["python3", "platform/chivepierd.py", self.role], cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT)

    def signal(self, n):
        if self.child.poll() is None:
            self.child.send_signal(n)

    def kill(self):
        if self.child is not None:
            self.child.kill()
            self.child.wait()
            self.child = None


class Server:
    """A raw HTTP/1.1 replica."""

    def __init__(self, ip, port, service, controls, record):
        self.address = f"{ip}:{port}"
        self.ip, self.port = ip, port
        self.service, self.controls, self.record = service, controls, record
        self.id = "i-" + secrets.token_hex(5)
        self.state, self.seq = "ready", 0
        self.behave = None
        self.slots = 24
        self.server = None
        self.task = None
        self.arrived = []  # (time, id, head, body)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.task = asyncio.create_task(self.beat_forever())

    async def stop(self):
        self.task.cancel()
        self.server.close()

    async def beat(self):
        self.seq += 1
        body = {"service": self.service, "address": self.address, "zone": "z", "version": "v1", "slots": self.slots, "state": self.state, "cold-left-ms": 0, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.seq}
        for c in self.controls:
            s, _, _ = await call(c, "PUT", f"/chivepier/instances/{self.id}", json.dumps(body).encode())
            if 200 <= s < 300:
                return True
        return False

    async def beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.split(b"\r\n")
                h = {}
                for line in lines[1:]:
                    k, _, v = line.partition(b":")
                    if k:
                        h.setdefault(k.lower().decode("latin-1"), v.strip().decode("latin-1"))
                body = b""
                if "content-length" in h:
                    body = await reader.readexactly(int(h["content-length"]))
                elif "chunked" in h.get("transfer-encoding", ""):
                    while True:
                        n = int((await reader.readline()).split(b";")[0], 16)
                        body += await reader.readexactly(n)
                        await reader.readline()
                        if n == 0:
                            break
                rid = h.get("x-chivepier-request-id", "")
                first = lines[0].decode("latin-1")
                self.arrived.append((time.monotonic(), rid, head, body))
                self.record("server got", self.id, rid, first)
                if h.get("x-chivepier-expect-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 X\r\nX-Chivepier-Not-Run: 1\r\nContent-Length: 0\r\nX-Chivepier-Request-Id: %s\r\n\r\n" % rid.encode())
                    continue
                if first.split()[1].startswith("/health"):
                    writer.write(b"HTTP/1.1 200 OK\r\nX-Chivepier-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
                    continue
                if first.split()[1].startswith("/chivepier/"):
                    writer.write(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                if self.behave:
                    done = await self.behave(self, reader, writer, first, h, body)
                    if done == "close":
                        return
                    if done:
                        continue
                out = json.dumps({"by": self.id, "id": rid, "line": first}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nX-Chivepier-Request-Id: %s\r\nX-Chivepier-Server-Stamp: %s.1\r\nContent-Length: %d\r\n\r\n" % (rid.encode("latin-1"), self.id.encode(), len(out)) + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def call(address, method, path, body=b"", headers=(), seconds=1.0, raw=None):
    """One request over a new connection; (status, headers, body)."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                if raw is None:
                    text = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {len(body)}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers) + "\r\n"
                    raw = text.encode("latin-1") + body
                writer.write(raw)
                return await read_answer(reader)
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, {}, repr(error).encode()


async def read_answer(reader, head_only=False):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    h = {}
    for line in lines[1:]:
        k, _, v = line.partition(":")
        if k:
            h[k.lower()] = v.strip()
    body = b""
    if "content-length" in h:
        body = await reader.readexactly(int(h["content-length"]))
    elif "chunked" in h.get("transfer-encoding", ""):
        while True:
            n = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(n)
            await reader.readline()
            if n == 0:
                break
    elif not head_only:
        body = await reader.read()
    return status, h, body


def config(version, service_of, teams=True, **extra):
    routes = []
    for name, kind, svc, more in service_of:
        r = {"name": name, "host": "h.example", "path-prefix": f"/{name}/", "kind": kind, "timeout-ms": 6000, "slo-ms": 1000, "priority": 1, "service": svc, "max-attempts": 2, "public": False, "sticky": False, "resumable": False}
        r.update(more)
        routes.append(r)
    services = [{"name": s, "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": False} for s in sorted({x[2] for x in service_of})]
    c = {"version": version, "routes": routes, "services": services, "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}, "tenants": [{"name": "t1", "api-keys": ["k1"], "priority": 1}, {"name": "t2", "api-keys": ["k2"], "priority": 1}]}
    c.update(extra)
    return c


class Lab:
    def __init__(self, voters=3, entries=2, block=None):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        block = block or choose_block(max(voters, entries, 4))
        self.base = f"127.{block}"
        self.controls = [f"{self.base}.1.{n+1}:8748" for n in range(voters)]
        seeds = self.controls[:3]
        self.voters = [Process("voter", f"{self.base}.1.{n+1}", seeds, self.folder) for n in range(voters)]
        self.entries = [Process("entry", f"{self.base}.2.{n+1}", seeds, self.folder) for n in range(entries)]
        self.servers = []
        self.lines = []
        self.failed = []
        self.t0 = time.monotonic()

    def record(self, *words):
        self.lines.append(f"{time.monotonic()-self.t0:9.3f} " + " ".join(map(str, words)))

    def server(self, n, service, port=8080):
        s = Server(f"{self.base}.3.{n}", port, service, self.controls, self.record)
        self.servers.append(s)
        return s

    async def put_config(self, c, seconds=10):
        end = time.monotonic() + seconds
        body = json.dumps(c).encode()
        while time.monotonic() < end:
            for a in self.controls:
                s, _, b = await call(a, "PUT", "/chivepier/config", body)
                if s == 200:
                    self.record("config", c["version"], "acknowledged by", a)
                    return True
                if s == 400: raise RuntimeError(b)
            await asyncio.sleep(0.1)
        return False

    @contextlib.asynccontextmanager
    async def run(self, conf):
        try:
            for p in self.voters:
                p.start(boot=True)
            for p in self.entries:
                p.start(boot=False)
            for s in self.servers:
                await s.start()
            assert await self.put_config(conf, 20)
            end = time.monotonic() + 15
            while time.monotonic() < end:
                oks = [(await call(f"{p.ip}:8749", "GET", "/chivepier/ready"))[0] for p in self.entries]
                if all(o == 200 for o in oks):
                    break
                await asyncio.sleep(0.2)
            else:
                raise RuntimeError("not ready")
            await asyncio.sleep(1.5)
            yield self
        finally:
            for p in (*self.voters, *self.entries):
                p.kill()
            for s in self.servers:
                await s.stop()
            shutil.rmtree(self.folder, ignore_errors=True)

    def blame(self, *words):
        """Note that the rule was broken."""
        self.failed.append(" ".join(map(str, words)))
        self.record("BROKEN:", *words)

    def check(self, fine, *words):
        """Note a check, and whether the rule held there."""
        if fine:
            self.record("held:", *words)
        else:
            self.blame(*words)

    def find(self, rid):
        """Return what servers got under the id of a request."""
        return [got for s in self.servers for got in s.arrived if got[1] == rid]

    async def ask(self, entry, method, path, rid, body=b"", key="k1", headers=(), deadline=3000, seconds=None):
        h = [("X-Chivepier-Request-Id", rid), ("X-Chivepier-Deadline-Ms", deadline), ("X-Api-Key", key), *headers]
        text = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nContent-Length: {len(body)}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in h) + "\r\n"
        r = await call(f"{entry.ip}:8740", method, path, seconds=seconds or deadline / 1000 + 1, raw=text.encode("latin-1") + body)
        self.record("client", rid, method, path, "->", r[0])
        return r


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAX_SECONDS = 110


def play(folder, scenario):
    """Play a scenario; exit with 1 if a rule broke, 0 if not, 2 if unplayed.

    :param folder: the folder of the case, for its record
    :param scenario: coroutine function that is given the trouble's presence,
        and returns the deployment that it has used
    """
    code, lines = 2, []
    lab = Lab()

    async def bounded():
        async with asyncio.timeout(MAX_SECONDS):
            await scenario(lab, TROUBLE)

    try:
        asyncio.run(bounded())
        code = 1 if lab.failed else 0
    except BaseException as error:
        lab.record("the case could not run:", repr(error))
    lines = [f"TROUBLE={int(TROUBLE)}", *lab.lines]
    lines.append({0: "the rule held", 1: "the rule was broken", 2: "not run"}[code])
    (pathlib.Path(folder) / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-12:]))
    raise SystemExit(code)
