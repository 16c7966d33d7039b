#!/usr/bin/env python3
"""A randomized soak: routers as processes, faults from outside, in series and
overlapping, and the promises checked from what callers and targets see. Each
seed plays some of the groups of faults, so that some runs have calm routers.

    soak.py --seeds 50            fresh seeds, one after the other
    soak.py --seed 7 --seconds 20 one seed again
    soak.py --minutes 5           fresh seeds until the time is over
    soak.py --regressions         all seeds of regressions.txt again

Ends with 1 when a promise was broken, and names the seed.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from caller import get  # noqa: E402
from deadly import DeadlyRequests  # noqa: E402
from faults import LinkFaults, RouterFaults  # noqa: E402
from fleet import Fleet  # noqa: E402
from store_faults import RowFaults, StoreFaults  # noqa: E402
from target_faults import TargetFaults  # noqa: E402

SETTLE_S = 5.0  # after the last fault; then everything has to work
CALM_S = 2.0
RECOVERED = 0.97  # share served in the calm at the end
DIRECT_PAUSE_S = 0.2  # between direct requests at one router
LAG_PAUSE_S = 0.05
REPORT_PAUSE_S = 0.2  # between reports of all targets together
GROUPS = (RouterFaults, LinkFaults, StoreFaults, TargetFaults)
REGRESSIONS = Path(__file__).with_name("regressions.txt")


class Soak:
    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.log = []
        self.out = set()  # ids of targets that may get nothing any more
        self.changed = list(fleet.routes)  # routes, also those dropped since
        self.lag = 0.0  # the longest that this process kept others waiting
        chosen = self.random.sample(GROUPS, self.random.randint(1, 3))
        self.faults = [fault for group in (RowFaults, *chosen)
                       for fault in group(fleet, self.random, self.out).all()]
        self.gap = self.random.uniform(0.15, 1.2)
        # With numbers of its own, so that the seeds from before it was added
        # play the same faults.
        self.restores = random.Random(f"restores {seed}")
        self.store_faults = StoreFaults(fleet, self.restores, self.out)
        self.deadly = DeadlyRequests(fleet, seed, self.out)
        self.hear_each_other = not {RouterFaults, LinkFaults} & set(chosen)

    async def run(self, seconds):
        until = time.monotonic() + seconds
        running = {asyncio.create_task(self.restore_store(seconds)),
                   asyncio.create_task(self.deadly.run(seconds))}
        while time.monotonic() < until:
            await asyncio.sleep(self.random.uniform(0.1, 2) * self.gap)
            fault = self.random.choice(self.faults)
            running.add(asyncio.create_task(self._play(fault)))
        await asyncio.gather(*running)

    async def restore_store(self, seconds):
        """Up to two restores of the store, in any seed."""
        times = [self.restores.uniform(0, seconds)
                 for _ in range(self.restores.randint(0, 2))]
        began = time.monotonic()
        for at in sorted(times):
            await asyncio.sleep(max(began + at - time.monotonic(), 0))
            await self._play(self.store_faults.restore)

    async def _play(self, fault):
        self.log.append(f"{time.monotonic():.3f} {fault.__qualname__}")
        await fault()
        self.log.append(f"{time.monotonic():.3f} {fault.__qualname__} over")

    async def ask_directly(self, router):
        """Requests at one router that show which version it has in force."""
        caller = self.fleet.caller(f"direct-{router.name}", only=router)
        while time.monotonic() < self.fleet.load_ends:
            self.changed += [r for r in self.fleet.routes
                             if r not in self.changed]
            await caller.request(self.random.choice(self.changed[-6:]))
            await asyncio.sleep(DIRECT_PAUSE_S)

    async def report_targets(self):
        """Rows of targets change all the time, as those of hundreds do."""
        while True:
            await asyncio.sleep(REPORT_PAUSE_S)
            target = self.random.choice(self.fleet.targets)
            if target.id not in self.out:
                await target.list_itself()

    async def watch_lag(self):
        while True:
            due = time.monotonic() + LAG_PAUSE_S
            await asyncio.sleep(LAG_PAUSE_S)
            self.lag = max(self.lag, time.monotonic() - due)

    async def check_calm(self, since):
        truth = self.fleet.truth
        self.deadly.check(truth, self.hear_each_other)
        if (share := truth.served(since, callers="c")) < RECOVERED:
            ends = Counter((a.route, a.status) for a in truth.asked.values()
                           if a.at > since and a.status != 200 and a.ended)
            truth.broken("RECOVER", f"{share:.3f} served after all faults, "
                         f"others {dict(ends)}")
        for name, status in self.fleet.ends:
            truth.broken("EXIT", f"{name} ended by itself with {status}")
        for router in self.fleet.routers:
            if failures := router.log.read_bytes().count(
                    b"callback_failed"):
                truth.broken("FAILURE", f"{router.name} had {failures} steps "
                             "that failed and were contained")
            try:
                answer = await get(router.metrics, "/metrics")
            except (wire.Broken, OSError) as failure:
                truth.broken("EXIT", f"{router.name}: {failure}")
                continue
            wanted = f"vanillapost_configuration_version {self.fleet.version}"
            if wanted not in answer.body.decode().splitlines():
                truth.broken("CONFIG", f"{router.name} has an old version")


async def play(fleet, soak, args):
    await fleet.wait_ready()
    beside = [asyncio.create_task(fleet.keep_running()),
              asyncio.create_task(soak.watch_lag()),
              asyncio.create_task(soak.report_targets())]
    load = asyncio.gather(
        fleet.load(3600, callers=args.callers, pause_s=0.06, rude=3),
        *(soak.ask_directly(router) for router in fleet.routers))
    await soak.run(args.seconds)
    await asyncio.sleep(SETTLE_S)
    calm = time.monotonic()
    await asyncio.sleep(CALM_S)
    await soak.check_calm(calm)
    fleet.load_ends = time.monotonic()
    await load
    for task in beside:
        task.cancel()
    fleet.truth.check_end()


def keep_logs(fleet, soak, folder):
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "faults.log").write_text("\n".join(soak.log))
    (folder / "broken.log").write_text(
        "\n".join(f"{p}: {what}" for p, what in fleet.truth.violations))
    for router in fleet.routers:
        shutil.copy(router.log, folder)


async def run_fleet(seed, args):
    async with Fleet(seed=seed, routers=args.routers,
                     targets_per_zone=args.targets, proxied=True,
                     relayed=True) as fleet:
        soak = Soak(fleet, seed)
        await play(fleet, soak, args)
        if fleet.truth.violations and args.keep:
            keep_logs(fleet, soak, Path(args.keep) / f"seed-{seed}")
        return fleet.truth, soak.lag


def run_seed(seed, args):
    truth, lag = asyncio.run(run_fleet(seed, args))
    verdict = "broken" if truth.violations else "kept"
    print(f"seed {seed}: {verdict} {truth.summary()} lag {lag:.2f} s "
          f"{dict(Counter(p for p, _ in truth.violations))}", flush=True)
    for promise, what in truth.violations[:5]:
        print(f"  {promise}: {what}", flush=True)
    return not truth.violations


def read_regressions():
    """Lines of seed, seconds, routers and targets, and then the cause."""
    lines = REGRESSIONS.read_text().splitlines()
    return [[int(figure) for figure in line.split()[:4]]
            for line in lines if line and not line.startswith("#")]


def play_regressions(args):
    broken = []
    for seed, args.seconds, args.routers, args.targets in read_regressions():
        if not run_seed(seed, args):
            broken.append(seed)
    return broken


def play_fresh(args):
    fresh = random.SystemRandom()
    until = time.monotonic() + args.minutes * 60
    broken = []
    played = 0
    while played < args.seeds or time.monotonic() < until:
        seed = fresh.randrange(10**6)
        if not run_seed(seed, args):
            broken.append(seed)
        played += 1
    print(f"{played - len(broken)} kept, {len(broken)} broken {broken}")
    return broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--routers", type=int, default=6)
    parser.add_argument("--targets", type=int, default=2,
                        help="of each service in each data centre")
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument("--regressions", action="store_true")
    parser.add_argument("--keep", help="folder for logs of broken seeds")
    args = parser.parse_args()
    if args.seed is not None:
        return 0 if run_seed(args.seed, args) else 1
    broken = play_regressions(args) if args.regressions else play_fresh(args)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
