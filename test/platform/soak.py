#!/usr/bin/env python3
"""A randomized soak: routers as processes, faults from outside, in series and
overlapping, and the promises checked from what callers and targets see.

    soak.py --seeds 50            fresh seeds, one after the other
    soak.py --seed 7 --seconds 20 one seed again
    soak.py --minutes 5           fresh seeds until the time is over

Ends with 1 when a promise was broken, and names the seed.
"""

import argparse
import asyncio
import os
import random
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from caller import get  # noqa: E402
from fleet import ZONES, Fleet, Route  # noqa: E402

SETTLE_S = 5.0  # after the last fault; then everything has to work
CALM_S = 2.0
RECOVERED = 0.97  # share served in the calm at the end
SERVICES = ("stock", "ledger", "archive")


class Soak:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.log = []
        self.frozen = []  # (front address, from, to) of stopped routers
        self.out = set()  # ids of targets that may get nothing any more
        self.faults = [
            self.kill_router, self.stop_router, self.freeze_router,
            self.hang_up, self.store_mode, self.store_loses, self.store_slow,
            self.store_forgets, self.store_cut, self.kill_target,
            self.silence_target, self.slow_target, self.fail_target,
            self.spoil_target, self.reset_target, self.drain_target,
            self.add_target, self.reuse_address, self.cut_target,
            self.configure, self.evacuate]

    def note(self, text):
        self.log.append(f"{time.monotonic():.3f} {text}")

    def pick_target(self):
        live = [t for t in self.fleet.targets if t.id not in self.out]
        target = self.random.choice(live)
        others = [t for t in live if t.service == target.service]
        return target if len(others) > 2 else None

    async def run(self, seconds):
        until = time.monotonic() + seconds
        running = set()
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
            fault = self.random.choice(self.faults)
            self.note(fault.__name__)
            running.add(asyncio.create_task(fault()))
        await asyncio.gather(*running)

    async def pause(self, low=0.3, high=2.5):
        await asyncio.sleep(self.random.uniform(low, high))

    async def kill_router(self):
        router = self.random.choice(self.fleet.routers)
        process = router.process
        if process.poll() is not None:
            return
        begin = time.monotonic()
        process.kill()
        while process.poll() is None:
            await asyncio.sleep(0.02)
        await self.pause(0.1, 1.5)
        # Another fault may have started it meanwhile.
        if router.process is process:
            router.start()
        self.frozen.append((router.front, begin, time.monotonic()))

    async def stop_router(self):
        router = self.random.choice(self.fleet.routers)
        if router.process.poll() is not None:
            return
        process = router.process
        router.signal(signal.SIGTERM)
        end = time.monotonic() + 12
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.fleet.truth.broken("STOP", f"{router.name} outlives SIGTERM")
            process.kill()
            process.wait()
        if router.process is process:
            router.start()

    async def freeze_router(self):
        router = self.random.choice(self.fleet.routers)
        begin = time.monotonic()
        router.signal(signal.SIGSTOP)
        await self.pause(0.2, 2.5)
        router.signal(signal.SIGCONT)
        self.frozen.append((router.front, begin, time.monotonic()))

    async def hang_up(self):
        self.random.choice(self.fleet.routers).signal(signal.SIGHUP)

    async def store_mode(self):
        store = self.fleet.store
        store.mode = self.random.choice(("silent", "busy", "many", "reset"))
        if self.random.random() < 0.5:
            store.reset_connections()
        await self.pause()
        store.mode = "ok"

    async def store_loses(self):
        self.fleet.store.lose = 0.4
        await self.pause()
        self.fleet.store.lose = 0.0

    async def store_slow(self):
        self.fleet.store.delay_s = self.random.uniform(0.05, 0.4)
        await self.pause()
        self.fleet.store.delay_s = 0.0

    async def store_forgets(self):
        await self.fleet.store.forget_history()

    async def store_cut(self):
        await self.cut(self.fleet.store_proxy)

    async def cut(self, proxy):
        kind = self.random.choice(("silent", "deaf", "refuse", "delay"))
        if kind == "delay":
            proxy.delay_s = self.random.uniform(0.01, 0.2)
        else:
            setattr(proxy, kind, True)
        if self.random.random() < 0.5:
            proxy.reset_connections()
        await self.pause()
        proxy.heal()
        proxy.reset_connections()

    async def cut_target(self):
        target = self.pick_target()
        if target:
            await self.cut(self.fleet.proxies[target.id])

    async def kill_target(self):
        target = self.pick_target()
        if not target:
            return
        self.out.add(target.id)
        await target.stop()
        await self.pause()
        await target.leave()
        await self.fleet.add_target(target.service, target.zone, cold_s=2.0)

    async def reuse_address(self):
        """The address of a target that ended goes to another service."""
        target = self.pick_target()
        if not target:
            return
        self.out.add(target.id)
        await target.stop()
        await target.leave()
        service = self.random.choice(
            [s for s in SERVICES if s != target.service])
        other = await self.fleet.add_target(service, target.zone)
        self.fleet.proxies[target.id]._to = other.address

    async def with_figure(self, name, value):
        target = self.pick_target()
        if not target:
            return
        setattr(target, name, value)
        await self.pause()
        setattr(target, name, {"slow": 1.0, "dark": False}.get(name, 0.0))
        if name == "dark":
            target.reset_connections()

    async def silence_target(self):
        await self.with_figure("dark", True)

    async def slow_target(self):
        await self.with_figure("slow", self.random.uniform(2, 8))

    async def fail_target(self):
        await self.with_figure("fail", 0.5)

    async def spoil_target(self):
        await self.with_figure("spoil", 0.3)
        await self.with_figure("lose", 0.2)

    async def reset_target(self):
        target = self.pick_target()
        if target:
            target.reset_connections(0.5)

    async def drain_target(self):
        target = self.pick_target()
        if not target:
            return
        self.out.add(target.id)
        await target.list_itself("draining")
        await self.pause(1, 4)
        await target.leave()
        await self.fleet.add_target(target.service, target.zone)

    async def add_target(self):
        if len(self.fleet.targets) < 40:
            await self.fleet.add_target(
                self.random.choice(SERVICES), self.random.choice(ZONES),
                cold_s=self.random.choice((0.0, 2.0)))

    async def configure(self):
        count = len(self.fleet.routes)
        if count < 20:
            self.fleet.routes.append(Route(
                f"more{count}", "shop.example", f"/more{count}/", "stock"))
        await self.fleet.write_config()

    async def evacuate(self):
        zone = self.random.choice(ZONES)
        await self.fleet.store.put("op", f"evacuate/{zone}", "{}")
        await self.pause()
        await self.fleet.store.remove("op", f"evacuate/{zone}")

    def excuse_frozen(self):
        """No answer is expected of a router while it cannot run."""
        for asked in self.fleet.truth.asked.values():
            if asked.status != -1:
                continue
            for front, begin, end in self.frozen:
                if asked.router == front and begin < asked.ended and \
                        asked.at < end + 1:
                    asked.status = 0

    async def check_calm(self, since):
        truth = self.fleet.truth
        if (share := truth.served(since)) < RECOVERED:
            truth.broken("RECOVER", f"{share:.3f} served after all faults")
        for runs in truth.runs.values():
            for run in runs:
                if run.target in self.out and run.at > since:
                    truth.broken("DRAIN", f"{run.target} got work after it "
                                 "had left")
        for router in self.fleet.routers:
            if router.process.poll() is not None:
                truth.broken("EXIT", f"{router.name} ended by itself")
                continue
            answer = await get(router.metrics, "/metrics")
            wanted = f"vanillapost_configuration_version {self.fleet.version}"
            if wanted not in answer.body.decode().splitlines():
                truth.broken("CONFIG", f"{router.name} has an old version")


async def play(seed, seconds, keep=None):
    async with Fleet(seed=seed, routers=4, targets_per_zone=2,
                     proxied=True) as fleet:
        await fleet.wait_ready()
        soak = Soak(fleet, seed)
        total = seconds + SETTLE_S + CALM_S
        load = asyncio.create_task(fleet.load(total, callers=16,
                                              pause_s=0.06))
        await soak.run(seconds)
        await asyncio.sleep(SETTLE_S)
        calm = time.monotonic()
        await asyncio.sleep(CALM_S)
        try:
            await soak.check_calm(calm)
        except (wire.Broken, OSError) as failure:
            fleet.truth.broken("EXIT", f"no metrics: {failure}")
        await load
        soak.excuse_frozen()
        fleet.truth.check_end()
        if fleet.truth.violations and keep:
            folder = Path(keep) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            (folder / "faults.log").write_text("\n".join(soak.log))
            for router in fleet.routers:
                shutil.copy(router.log, folder)
        return fleet.truth


def run_seed(seed, seconds, keep=None):
    truth = asyncio.run(play(seed, seconds, keep))
    verdict = "broken" if truth.violations else "kept"
    print(f"seed {seed}: {verdict} {truth.summary()}", flush=True)
    for promise, what in truth.violations[:5]:
        print(f"  {promise}: {what}", flush=True)
    return not truth.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--keep", help="folder for logs of broken seeds")
    args = parser.parse_args()
    if args.seed is not None:
        return 0 if run_seed(args.seed, args.seconds, args.keep) else 1
    fresh = random.SystemRandom()
    until = time.monotonic() + args.minutes * 60
    broken = []
    played = 0
    while played < args.seeds or time.monotonic() < until:
        seed = fresh.randrange(10**6)
        if not run_seed(seed, args.seconds, args.keep):
            broken.append(seed)
        played += 1
    print(f"{played - len(broken)} kept, {len(broken)} broken {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
