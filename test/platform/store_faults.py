"""Faults of the store, of the ways to it, and of what is written into it."""

import asyncio
import json
import time

import spoilt
from faults import Faults
from fleet import SERVICES, ZONES, Route
from touch import EVER

MAX_ROUTES = 24
ROWS_AT_ONCE = 5


class StoreFaults(Faults):
    names = ("unstable",) * 4 + ("forgets", "pages", "refuses_some",
                                 "cut_some")

    async def unstable(self):
        """What counts as down, slow or losing answers."""
        figures = self.random.choice((
            {"mode": "silent"}, {"mode": "busy"}, {"mode": "many"},
            {"mode": "reset"}, {"lose": 0.4}, {"jitter_s": 0.6},
            {"delay_s": self.random.uniform(0.05, 0.4)}, {"garble": 0.4},
            {"alien": 0.5}, {"garble": 0.2, "lose": 0.2}))
        with self.touch.lasting(self.touch.core, self.touch.core_down):
            if self.random.random() < 0.5:
                self.fleet.store.reset_connections()
            await self.hold(self.fleet.store, **figures)

    async def restore(self):
        """Comes back from a copy some seconds old; what was written since is
        written again."""
        store = self.fleet.store
        with self.touch.lasting(self.touch.core, self.touch.core_down):
            store.mode = self.random.choice(("reset", "silent", "busy"))
            store.reset_connections()
            await self.pause()
            lost = await store.restore(self.random.uniform(0.2, 9))
            store.mode = "ok"
            await self.pause(0, 0.6)
            await store.write_again(lost)

    async def forgets(self):
        await self.fleet.store.forget_history(self.random.random() < 0.3)

    async def pages(self):
        await self.hold(self.fleet.store, page=self.random.randint(1, 9),
                        no_base64=0.5)

    async def refuses_some(self):
        """The store serves the others, and the operator."""
        await self.spoil_ways(self.random.choice(
            ({"status": 503}, {"status": 429}, {"refuse": True},
             {"silent": True})), self.touch.core)

    async def cut_some(self):
        await self.spoil_ways(self.random.choice(
            ({"silent": True}, {"deaf": True}, {"delay_s": 0.2})))

    async def spoil_ways(self, figures, *spans):
        ways = list(zip(self.fleet.routers, self.fleet.store_proxies))
        ways = self.random.sample(ways, self.random.randint(1, len(ways) - 1))
        spans = spans or [self.touch.path[r.front] for r, _ in ways]
        with self.touch.lasting(*spans):
            for _, proxy in ways:
                proxy.reset_connections()
            await asyncio.gather(*(self.hold(p, **figures) for _, p in ways))
            for _, proxy in ways:
                proxy.reset_connections()


class RowFaults(Faults):
    names = ("spoil_rows",) * 3 + ("spoil_config", "rewrite_target", "flood",
                                   "configure", "configure", "evacuate")

    async def spoil_rows(self):
        """Rows of another writer, written over and over, then removed."""
        store = self.fleet.store
        table, odd = self.random.choice((
            ("servers", spoilt.ODD_KEYS), ("members", ("list",)),
            ("op", spoilt.ODD_KEYS + spoilt.ODD_OPERATOR_KEYS)))
        odd += tuple(f"i-{self.random.randrange(16**8):08x}" for _ in "123")
        keys = self.random.sample(odd, min(ROWS_AT_ONCE, len(odd)))
        for key in keys * 2:
            await store.put(table, key, spoilt.make_value(self.random))
            await self.pause(0, 0.3)
        await self.pause(0.3, 5)
        for key in keys:
            await store.remove(table, key)

    async def flood(self):
        """Many large rows at once, more than one answer holds."""
        keys = [f"i-large-{i}" for i in range(24)]
        await asyncio.gather(*(self.fleet.store.put(
            "servers", key, b"\xc1" * spoilt.MAX_ROW_BYTES) for key in keys))
        await self.pause()
        for key in keys:
            await self.fleet.store.remove("servers", key)

    async def spoil_config(self):
        """The last good one stays in force, and the next one is taken."""
        good = json.dumps(self.fleet.make_config())
        await self.fleet.store.put(
            "op", "config", spoilt.make_config(self.random, good))
        self.fleet.truth.versions.withdraw(time.monotonic())
        await self.pause(0.02, 0.8)
        await self.fleet.write_config()

    async def rewrite_target(self):
        """The row of a live target is lost to another writer; its owner
        writes it again with its next report."""
        target = self.random.choice(self.fleet.targets)
        if target.id in self.out:
            return
        for _ in range(self.random.randint(1, 3)):
            await self.fleet.store.put(
                "servers", target.id, spoilt.make_value(self.random))
            await self.pause(0, 1)
            if target.id not in self.out:
                await target.list_itself()

    async def configure(self):
        """Adds, removes, moves or splits a route that was added."""
        routes = self.fleet.routes
        added = [r for r in routes if r.name.startswith("more")]
        kind = self.random.choice(("add", "add", "drop", "move", "split"))
        if kind == "add" or not added:
            self._add_route()
        elif kind == "drop":
            routes.remove(self.random.choice(added))
        else:
            route = self.random.choice(added)
            service = self.random.choice(SERVICES)
            if kind == "move":
                route.service, route.split = service, ""
            elif service != route.service:
                route.split = service
        await self.fleet.write_config()

    def _add_route(self):
        if len(self.fleet.routes) < MAX_ROUTES:
            self.fleet.added += 1
            name = f"more{self.fleet.added}"
            self.fleet.routes.append(
                Route(name, "shop.example", f"/{name}/", "stock"))

    async def evacuate(self):
        evacuations = self.fleet.truth.evacuations
        out = {zone for zone, _, back in evacuations if back > time.monotonic()}
        if len(out) == len(ZONES):
            return
        zone = self.random.choice(sorted(set(ZONES) - out))
        await self.fleet.store.put("op", f"evacuate/{zone}", "{}")
        span = [zone, time.monotonic(), EVER]
        evacuations.append(span)
        await self.pause(0.5, 7)
        span[2] = time.monotonic()
        await self.fleet.store.remove("op", f"evacuate/{zone}")
