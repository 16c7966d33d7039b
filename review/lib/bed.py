"""A small deployment on loopback addresses for the cases of this review.

Starts the router with the command of the deploy file and settings from its
template, beside a store (the project's stand-in) and backends (written here).
All that is sent, answered and run goes to record.txt in the case's folder.
"""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "test" / "platform"))

import wire  # noqa: E402  the project's stand-ins
from store import Store  # noqa: E402

ID = "X-Vanillapost-Attempt-Id"
DEADLINE = "X-Vanillapost-Deadline-Ms"
SEAL = "X-Vanillapost-Response-Seal"
LOAD = "X-Vanillapost-Backend-Load"
INSTANCE = "X-Vanillapost-Instance-Id"
WANTED = "X-Vanillapost-Target-Instance"
NOT_EXECUTED = "X-Vanillapost-Not-Executed"

# The bounds of both sites in force.
GRACE_S = 6.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def seconds(text):
    """"2000ms" or "2s", as the pages write times."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def note(self, who, what, **more):
        rest = " ".join(f"{k}={v}" for k, v in more.items())
        self._file.write(f"{self.now():9.4f} {who:12} {what:16} {rest}\n")
        self._file.flush()


class Backend:
    """One request at a time on a connection, `slots` at a time in all, a
    short queue, and 503 with X-Vanillapost-Not-Executed beyond it. Drops a
    request when its connection closes. `work_s` and `size` may be functions
    of the request; `send` may take over the sending of an answer."""

    def __init__(self, bed, name, service, zone, slots=4, queue=8,
                 work_s=0.12, size=400):
        self.bed, self.id, self.service = bed, name, service
        self.zone, self.slots, self.queue = zone, slots, queue
        self.work_s, self.size = work_s, size
        self.send = None
        self.born = int(time.time() * 1000)
        self.running = self.waiting = self.sequence = 0
        self.state = "ready"
        self._room = asyncio.Semaphore(slots)
        self._server = wire.Server(self._serve)

    async def start(self):
        await self._server.start("127.0.0.1")
        self.address = self._server.address
        await self.report()

    async def report(self, state="ready"):
        self.state = state
        self.sequence += 1
        await self.bed.store.put("servers", self.id, json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "maxConcurrency": self.slots},
            "status": {"state": state, "sequence": self.sequence,
                       "warmupLeft": "0ms"}}))

    async def stop(self):
        await self._server.stop()

    def load(self):
        return LOAD, f"{self.running},{self.waiting},{self.slots},100"

    async def _serve(self, reader, writer):
        while True:
            request = await wire.read_message(reader)
            if request.target == "/health":
                writer.write(wire.format_message(
                    "HTTP/1.1 200 OK", [(INSTANCE, self.id), self.load()]))
                await writer.drain()
                continue
            work = asyncio.create_task(self._work(request, writer))
            left = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait(
                (work, left), return_when=asyncio.FIRST_COMPLETED)
            if work not in done:
                work.cancel()
                self.bed.record.note(self.id, "caller-left",
                                     id=request.header(ID))
                return
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
            if not work.result():
                return

    async def _work(self, request, writer):
        attempt = request.header(ID)
        if request.header(WANTED) not in (None, self.id):
            writer.write(wire.format_message(
                "HTTP/1.1 421 Misdirected", [(INSTANCE, self.id)]))
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(wire.format_message(
                "HTTP/1.1 503 Full",
                [(NOT_EXECUTED, "1"), (ID, attempt), self.load()]))
            return True
        self.waiting += 1
        try:
            await self._room.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.bed.note_run(self, request)
            work = self.work_s(request) if callable(self.work_s) \
                else self.work_s
            await asyncio.sleep(work)
        finally:
            self.running -= 1
            self._room.release()
        size = self.size(request) if callable(self.size) else self.size
        body = (attempt.encode() * (size // len(attempt) + 1))[:size]
        headers = [(ID, attempt), (SEAL, f"{self.id}.{len(body)}"),
                   self.load()]
        if not (self.send and await self.send(request, headers, body, writer)):
            writer.write(wire.format_message("HTTP/1.1 200 OK", headers, body))
            await writer.drain()
        self.bed.note_answered(self, request)
        return True


class Router:
    def __init__(self, bed, number, zone):
        self.bed, self.zone = bed, zone
        self.name = f"router-{number}"
        self.ip = f"127.{40 + bed.block // 200}.{bed.block % 200}." \
                  f"{101 + number}"
        front, ready, directory, control, peer, metrics = bed.ports
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.directory = f"{self.ip}:{directory}"
        self.control = f"{self.ip}:{control}"
        self._fields = (peer, metrics)
        self.process = None
        self.log = bed.folder / f"{self.name}.log"

    def settings(self):
        """The deploy template, filled in as DEPLOY.md tells."""
        text = (ROOT / "deploy/settings.json.template").read_text()
        seeds = ",".join(f'"{r.control}"' for r in self.bed.routers[:3])
        text = re.sub(r"\{\{#seedNodes\}\}.*\{\{/seedNodes\}\}", seeds, text)
        peer, metrics = self._fields
        values = {
            "node": self.name, "zone": self.zone, "ip": self.ip,
            "listen.front": self.front, "listen.ready": self.ready,
            "listen.directory": self.directory,
            "listen.control": self.control, "portRange.0": peer,
            "platform.address": self.bed.store.address,
            "bounds.gracePeriod": "6s", "bounds.drainTimeout": "2000ms",
            "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "58",
            "bounds.budgetWindow": "10s"}
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        settings = json.loads(text)
        settings["metrics_address"] = f"{self.ip}:{metrics}"
        return settings

    def start(self):
        path = self.bed.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        command = shlex.split(self.bed.command)
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["VANILLAPOST_SETTINGS"] = str(path)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.bed.record.note(self.name, "started")

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
            self.bed.record.note(self.name, "signal",
                                 number=signal.Signals(number).name)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(get(self.ready, "/readiness"), 1)
            return answer.status == 200
        except (wire.Broken, OSError, asyncio.TimeoutError):
            return False

    async def wait_end(self, limit_s):
        until = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        self.bed.record.note(self.name, "ended", status=self.process.poll())
        return self.process.poll()


async def get(address, target, host="x"):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(wire.format_message(
            f"GET {target} HTTP/1.1", [("Host", host)], length=False))
        return await wire.read_message(reader, answer=True)
    finally:
        writer.close()


def route(name, prefix, service, kind="idempotent", timeout_ms=2500,
          attempts=2, target_ms=400):
    return {"name": name, "kind": kind, "priority": 1,
            "targetLatency": f"{target_ms}ms", "match": {"prefix": prefix},
            "action": {"service": service, "attempts": attempts,
                       "timeout": f"{timeout_ms}ms"}}


class Bed:
    """Store, routers and backends of one case."""

    HOST = "shop.example"

    def __init__(self, case, routes, services, routers=3):
        self.record = Record(Path(case))
        self.random = random.Random(os.getpid())
        self.block = os.getpid() % 10000
        with open(ROOT / "deploy/system.toml", "rb") as deploy:
            self.command = tomllib.load(deploy)["roles"]["router"]["run"]
        if not (ROOT / shlex.split(self.command)[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.routes, self.services = routes, services
        self.version = 11
        self.max_body = 1 << 20
        self.runs = {}  # attempt id: [(backend, time)]
        self.answered = {}  # attempt id: time of the whole answer
        self.store = Store(self.random)
        self.backends = []
        self.ports = self._free_ports()
        self.routers = []
        for number in range(routers):
            self.routers.append(Router(self, number, "abc"[number % 3]))

    def _free_ports(self):
        while True:
            ports = self.random.sample(range(20000, 32000), 6)
            try:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                return ports
            except OSError:
                continue

    def config(self):
        return {"version": f"r{self.version}",
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": self.max_body,
                           "headerTimeout": "3000ms", "idleTimeout": "15s"},
                "listeners": [{"host": self.HOST, "rules": self.routes}],
                "clusters": [{"name": s, "healthPath": "/health",
                              "maxConnections": 220, "slowStart": "3s",
                              "warmupPerS": 6.7} for s in self.services]}

    async def write_config(self):
        await self.store.put("op", "config", json.dumps(self.config()))
        self.record.note("operator", "config", version=self.version)

    async def __aenter__(self):
        await self.store.start("127.0.0.1")
        await self.write_config()
        return self

    async def add(self, service, zone, **figures):
        name = f"i-{service}-{len(self.backends) + 1}"
        backend = Backend(self, name, service, zone, **figures)
        await backend.start()
        self.backends.append(backend)
        return backend

    async def start_routers(self, settle_s=4.0):
        """Ready, and calm for `contact` before anything is judged."""
        for router in self.routers:
            router.start()
        until = time.monotonic() + 20
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{router.name} is not ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(settle_s)

    async def __aexit__(self, *_):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        for backend in self.backends:
            await backend.stop()
        await self.store.stop()
        if keep := os.environ.get("KEEP_LOGS"):
            for router in self.routers:
                Path(keep, router.log.name).write_bytes(
                    router.log.read_bytes())
        self._temporary.cleanup()

    def note_run(self, backend, request):
        attempt = request.header(ID)
        self.runs.setdefault(attempt, []).append(
            (backend.id, time.monotonic()))
        self.record.note(backend.id, "run", id=attempt,
                         request=request.start.replace(" ", "_"))

    def note_answered(self, backend, request):
        attempt = request.header(ID)
        self.answered[attempt] = time.monotonic()
        self.record.note(backend.id, "answered", id=attempt)

    async def resolve(self, router, zone="a"):
        answer = await asyncio.wait_for(get(
            router.directory, f"/resolve?name={self.HOST}&region=r"
            f"&zone={zone}"), 1)
        return json.loads(answer.body)


def main(play, limit_s=110):
    """Plays a case; its verdict is the exit status."""
    # So that the routers end also when the script is told to.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(asyncio.wait_for(play(), limit_s))
    except CannotRun as failure:
        print("could not run:", failure)
        sys.exit(NOT_RUN)
    except Exception:  # a fault of the case itself is no verdict
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for line in broken:
        print("broken:", line)
    print("rule broken" if broken else "rule held")
    sys.exit(BROKEN if broken else HELD)
