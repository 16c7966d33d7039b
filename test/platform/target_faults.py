"""Faults of targets and of the ways to them."""

from faults import Faults
from fleet import SERVICES, ZONES

MAX_TARGETS = 40


class TargetFaults(Faults):
    names = ("misbehave",) * 4 + ("reset", "kill", "start_again", "drain",
                                  "add", "reuse_address", "cut",
                                  "leave_by_answers", "want_pause",
                                  "name_limit", "name_limits")

    def pick(self):
        """One that may fail: others of its service are left."""
        live = [t for t in self.fleet.targets if t.id not in self.out]
        target = self.random.choice(live)
        others = [t for t in live if t.service == target.service]
        return target if len(others) > 2 else None

    async def misbehave(self):
        if not (target := self.pick()):
            return
        figures = self.random.choice((
            {"dark": True}, {"slow": self.random.uniform(2, 8)}, {"fail": 0.5},
            {"spoil": 0.4}, {"lose": 0.2}, {"odd": 0.5}))
        await self.hold(target, **figures)
        if "dark" in figures:
            target.reset_connections()

    async def reset(self):
        if target := self.pick():
            target.reset_connections(0.5)

    async def kill(self):
        if not (target := self.pick()):
            return
        self.out.add(target.id)
        await target.stop()
        await self.pause()
        await target.leave()
        await self.fleet.add_target(target.service, target.zone, cold_s=2.0)

    async def start_again(self):
        """Under the same id, with counts that start anew."""
        if not (target := self.pick()):
            return
        target.reset_connections()
        target.begin_anew()
        await self.pause(0, 0.5)
        if target.id not in self.out:
            await target.list_itself()

    async def drain(self):
        """Some report it, and of others the row is removed at once."""
        if not (target := self.pick()):
            return
        self.out.add(target.id)
        if self.random.random() < 0.7:
            await target.list_itself("draining")
            await self.pause(1, 4)
        await target.leave()
        await self.fleet.add_target(target.service, target.zone)

    async def leave_by_answers(self):
        """Its row says nothing, and may be written again after it left."""
        if not (target := self.pick()):
            return
        self.out.add(target.id)
        target.leaves = True
        await self.pause(1, 4)
        if self.random.random() < 0.5:
            await target.leave()
            await target.list_itself()
            await self.pause(1, 3)
        await target.leave()
        await self.fleet.add_target(target.service, target.zone)

    async def want_pause(self):
        if not (target := self.pick()):
            return
        target.pause = self.random.choice(("0.8", "2", "3.5", "-1", "soon"))
        await self.pause(0.1, 0.6)
        target.pause = None

    async def name_limit(self):
        """In need; what it takes changes, and nonsense changes nothing."""
        if not (target := self.pick()):
            return
        in_probes = self.random.random() < 0.5
        for _ in range(self.random.randint(1, 3)):
            limit = self.random.choice((0, 0.4, 1.5, 2.8, 6, 12.5, "few"))
            target.name_limit(limit, in_probes)
            await self.pause(1, 6)
        target.name_limit(None)

    async def name_limits(self):
        """All of a service at once."""
        service = self.random.choice(SERVICES)
        targets = [t for t in self.fleet.targets_of(service)
                   if t.id not in self.out and t.limit is None]
        limit = self.random.uniform(1, 8)
        for target in targets:
            target.name_limit(round(limit, 2))
        await self.pause(2, 7)
        for target in targets:
            target.name_limit(None)

    async def add(self):
        if len(self.fleet.targets) < MAX_TARGETS:
            target = await self.fleet.add_target(
                self.random.choice(SERVICES), self.random.choice(ZONES),
                cold_s=self.random.choice((0.0, 2.0)))
            target.refuses = self.random.random() < 0.5

    async def reuse_address(self):
        """The address of a target that ended goes to another service."""
        if not (target := self.pick()):
            return
        self.out.add(target.id)
        await target.stop()
        await target.leave()
        other = await self.fleet.add_target(
            self.random.choice([s for s in SERVICES if s != target.service]),
            target.zone)
        self.fleet.proxies[target.id].lead_to(other.address)

    async def cut(self):
        if not (target := self.pick()):
            return
        proxy = self.fleet.proxies[target.id]
        kind = self.random.choice(("silent", "deaf", "refuse", "delay_s"))
        setattr(proxy, kind, 0.1 if kind == "delay_s" else True)
        if self.random.random() < 0.5:
            proxy.reset_connections()
        await self.pause()
        proxy.heal()
        proxy.reset_connections()
