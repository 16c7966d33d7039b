"""Routers as real processes, with everything around them."""

import asyncio
import json
import os
import random
import signal
import subprocess
import tempfile
import time
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import wire
from caller import Caller, get
from proxy import Proxy, watched
from relay import Relay, address_of
from rude import RudeCaller
from store import Store
from target import Target
from truth import Truth

ROOT = Path(__file__).resolve().parents[2]
BIN = Path(os.environ.get("VANILLAPOST_BIN", ROOT / "build"))
ZONES = ("a", "b", "c")
SERVICES = ("stock", "ledger", "archive")
BLOCK = 100 + os.getpid() % 150  # of addresses, of this run
START_S = 20  # generous: bounds waiting for something that does happen


@dataclass
class Route:
    name: str
    host: str
    prefix: str
    service: str
    kind: str = "idempotent"
    timeout_ms: int = 1500
    objective_ms: int = 400
    attempts: int = 2
    split: str = ""  # a second service that gets a third of the requests
    public: bool = False

    @property
    def services(self):
        return {self.service, self.split} - {""}

    def action(self):
        to = {"service": self.service}
        if self.split:
            to = {"trafficSplit": [{"service": self.service, "weight": 2},
                                   {"service": self.split, "weight": 1}]}
        return {**to, "attempts": self.attempts,
                "timeout": f"{self.timeout_ms}ms"}

    @property
    def repeatable(self):
        return self.kind != "non_idempotent"


LOOKUP = Route("lookup", "shop.example", "/look/", "stock")
ORDER = Route("order", "shop.example", "/order/", "ledger", "non_idempotent")
FILES = Route("files", "shop.example", "/files/", "archive", "download")
ROUTES = (LOOKUP, ORDER, FILES)


class Router:
    """One process, at a loopback address of its own: ports are the same on
    all of them, as on the platform."""

    def __init__(self, number, zone, ports, store_address, folder, touch):
        self.ip = address_of(BLOCK, number)
        self.name = f"router-{number}"
        self.zone = zone
        front, ready, directory, query, peer, metrics = ports
        self.front = f"{self.ip}:{front}"
        self.ready_address = f"{self.ip}:{ready}"
        self.directory = f"{self.ip}:{directory}"
        self.metrics = f"{self.ip}:{metrics}"
        self.settings = {
            "name": self.name, "data_centre": zone,
            "caller_address": self.front,
            "ready_address": self.ready_address,
            "directory_address": self.directory,
            "query_address": f"{self.ip}:{query}",
            "peer_address": f"{self.ip}:{peer}",
            "metrics_address": self.metrics,
            "platform": "rows", "platform_address": store_address,
            "seeds": [],
            "grace_period": "6s", "repeat_ratio": 0.2,
            "repeat_allowance": 58, "repeat_window": "10s"}
        self._touch = touch
        self.ours = False  # whether we are about to end it
        self._file = Path(folder) / f"{self.name}.json"
        self.log = Path(folder) / f"{self.name}.log"
        self.process = None

    def start(self, output=None, own_end=False):
        self._file.write_text(json.dumps(self.settings))
        self._touch.note_start(self.front, own_end)
        self.ours = False
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [BIN / "vanillapost-router", "--settings", self._file],
                stdout=output or log, stderr=log)
        watched.add(self.process.pid)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def minds_hang_up(self):
        """Whether a SIGHUP does not end it any more."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in status.splitlines()
                 if line.startswith(("SigIgn:", "SigCgt:"))]
        return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)

    def kill(self):
        self.ours = True
        self._touch.note_kill(self.front)
        self.signal(signal.SIGKILL)

    def rewrite_settings(self, cut=False, **changed):
        """In place, so that a reader may meet half of it."""
        self.settings.update(changed)
        text = json.dumps(self.settings)
        self._file.write_text(text[:len(text) // 2] if cut else text)

    async def wait_end(self, limit_s=START_S):
        until = time.monotonic() + limit_s
        while self.process.poll() is None:
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} did not end")
            await asyncio.sleep(0.02)
        return self.process.returncode

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                get(self.ready_address, "/readiness"), 1)
            return answer.status == 200
        except (wire.Broken, OSError, asyncio.TimeoutError):
            return False

    async def metric(self, name):
        """Value of a metric without labels; nothing while it is not told."""
        try:
            answer = await asyncio.wait_for(get(self.metrics, "/metrics"), 1)
        except (wire.Broken, OSError, asyncio.TimeoutError):
            return None
        for line in answer.body.decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return None

    async def wait_ready(self):
        until = time.monotonic() + START_S
        while not await self.is_ready():
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)


class Fleet:
    """Store, targets, routers and callers of one test."""

    def __init__(self, seed=1, routers=3, targets_per_zone=2, proxied=False,
                 relayed=False):
        self.random = random.Random(seed)
        self.truth = Truth()
        self.store = Store(self.random)
        self.store_proxies = [Proxy() for _ in range(routers if proxied else 0)]
        self.relay = None
        self.proxies = {}
        self.targets = []
        self.routers = []
        self.version = 1
        self.routes = list(ROUTES)
        self.added = 0  # routes beyond these
        self.organisations = None  # as the configuration has them
        self._wanted = (routers, targets_per_zone)
        self._proxied = proxied
        self._relayed = relayed
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.ends = []  # (name, exit status) of routers that ended
        self.load_ends = float("inf")
        self._next_target = 0
        self._loads = 0

    async def __aenter__(self):
        await self.store.start("127.0.0.1")
        for proxy in self.store_proxies:
            await proxy.start(self.store.address)
        await self.write_config()
        count, per_zone = self._wanted
        for zone in ZONES:
            for service in SERVICES:
                for _ in range(per_zone):
                    await self.add_target(service, zone)
        self._ports = self.random.sample(range(20000, 32000), 6)
        if self._relayed:
            query, peer = self._ports[3:5]
            self.relay = Relay(BLOCK, count, peer, query, self.random)
            await self.relay.start()
        self.routers = [self._make_router(i) for i in range(count)]
        for router in self.routers:
            router.start()
        return self

    def _make_router(self, number):
        store = self.store_proxies[number] if self._proxied else self.store
        router = Router(number, ZONES[number % 3], self._ports, store.address,
                        self.folder, self.truth.touch)
        router.settings["seeds"] = [
            f"{self._seen_by(number, i)}:{self._ports[3]}"
            for i in range(min(self._wanted[0], 3))]
        return router

    def add_router(self):
        """One more, at an address of its own, that knows no seeds."""
        router = self._make_router(len(self.routers))
        router.settings["seeds"] = []
        self.routers.append(router)
        router.start()
        return router

    def _seen_by(self, viewer, number):
        if self.relay and viewer != number:
            return self.relay.seen_by(viewer, number)
        return address_of(BLOCK, number)

    async def __aexit__(self, *_):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        for target in self.targets:
            await target.stop()
        for proxy in [*self.proxies.values(), *self.store_proxies]:
            await proxy.stop()
        if self.relay:
            await self.relay.stop()
        await self.store.stop()
        self._folder.cleanup()

    async def wait_ready(self):
        for router in self.routers:
            await router.wait_ready()

    async def add_target(self, service, zone, cold_s=0.0, **figures):
        self._next_target += 1
        name = f"i-{service}-{self._next_target}"
        target = Target(name, service, zone, self.store, self.truth,
                        self.random, **figures)
        await target.start("127.0.0.1", cold_s)
        if self._proxied:
            proxy = Proxy()
            await proxy.start(target.address)
            self.proxies[name] = proxy
            target.listed_address = proxy.address
        await target.list_itself()
        self.targets.append(target)
        return target

    @contextmanager
    def partitioned(self, *routers, resets=False):
        """These routers reach no target meanwhile; all else reaches them."""
        cut = {router.process.pid for router in routers}
        for proxy in self.proxies.values():
            proxy.cut_resets = resets
            proxy.cut = proxy.cut | cut
        try:
            yield
        finally:
            for proxy in self.proxies.values():
                proxy.cut = proxy.cut - cut

    def targets_of(self, service):
        return [t for t in self.targets if t.service == service]

    def make_config(self):
        rules = [{"name": r.name, "kind": r.kind, "priority": 1,
                  "targetLatency": f"{r.objective_ms}ms",
                  "public": r.public,
                  "match": {"prefix": r.prefix},
                  "action": r.action()}
                 for r in self.routes]
        named = {} if self.organisations is None else {
            "tenants": self.organisations}
        return {"version": f"r{self.version}", **named,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20,
                           "headerTimeout": "3000ms", "idleTimeout": "15s"},
                "listeners": [{"host": "shop.example", "rules": rules}],
                "clusters": [{"name": s, "healthPath": "/health",
                              "maxConnections": 220, "slowStart": "3s",
                              "warmupPerS": 3.4}
                             for s in SERVICES]}

    async def write_config(self):
        self.version += self.random.randint(1, 9)
        sent = self.truth.versions.send(
            self.version, {r.name: r.services for r in self.routes},
            time.monotonic())
        await self.store.put("op", "config", json.dumps(self.make_config()))
        now = sent.acknowledged = time.monotonic()
        for route in self.routes:
            self.truth.in_force.setdefault(route.name, now)

    async def keep_running(self, pause_s=0.3):
        """Starts routers again that end, as the platform does."""
        while True:
            for router in self.routers:
                if router.process.poll() is not None and not router.ours:
                    self.ends.append((router.name, router.process.returncode))
                    await asyncio.sleep(pause_s)
                    router.start(own_end=True)
            await asyncio.sleep(0.02)

    def caller(self, name, zone="a", **kind):
        return Caller(name, zone, self, self.truth, self.random, **kind)

    async def load(self, seconds, callers=12, pause_s=0.05, routes=None,
                   rude=0):
        """Callers of all zones for that time; a fourth of them and the rude
        ones keep to their connections."""
        until = time.monotonic() + seconds
        self._loads += 1
        all_of = [self.caller(f"c{i}-{self._loads}", ZONES[i % 3],
                              stubborn=rude and i % 4 == 0)
                  for i in range(callers)]
        all_of += [RudeCaller(f"r{i}-{self._loads}", ZONES[i % 3], self,
                              self.truth, self.random) for i in range(rude)]
        await asyncio.gather(*(
            each.run(routes or self.routes, pause_s, until)
            for each in all_of))


def run(scenario, **wanted):
    """Plays a scenario with a fleet that is ready; no promise may break."""

    async def play():
        async with Fleet(**wanted) as fleet:
            await fleet.wait_ready()
            await scenario(fleet)
            fleet.truth.check_end()
            assert fleet.truth.violations == []

    asyncio.run(play())
