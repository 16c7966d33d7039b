"""All processes are killed while the store is down; then it comes back."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

import rig  # noqa: E402
from fleet import LOOKUP  # noqa: E402
from limits import most_within  # noqa: E402
from test_organisations import ask, bearer, organisation  # noqa: E402

# fff-aktivering-grown: quotaWindow 5s, quotaOvershoot 0.1, quotaSlack 20.
RATE = 20
BURST = 20
WINDOW_S = 5.0
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
HOT = 7.5  # times the quota that the tenant asks for, as `hot_tenant` does
CALLERS = 18
PAUSE_S = CALLERS / (HOT * RATE)  # of each, from request to request
SETTLED_S = 3.0
CALM_S = 8.0
DOWN_S = 4.5  # of the store, on this site
KILL_AFTER_S = 1.0
BEHIND_S = 8.0


async def press(fleet, name, router, until, statuses):
    count = 0
    while time.monotonic() < until:
        count += 1
        began = time.monotonic()
        try:
            status = await asyncio.wait_for(ask(
                fleet, router, f"{name}-{count}", LOOKUP,
                bearer("greedy-key")), 5)
        except (rig.wire.Broken, OSError, asyncio.TimeoutError):
            status = 0
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(max(PAUSE_S - (time.monotonic() - began), 0.01))


async def disrupt(fleet, record):
    fleet.store.mode = "silent"
    fleet.store.reset_connections()
    record.say("the store is down")
    await asyncio.sleep(KILL_AFTER_S)
    for router in fleet.routers:
        router.kill()
    record.say("all processes are killed")
    for router in fleet.routers:
        await router.wait_end()
    await asyncio.sleep(rig.RESTART_S)
    for router in fleet.routers:
        router.start()
    record.say("all processes are started again")
    await asyncio.sleep(DOWN_S - KILL_AFTER_S - rig.RESTART_S)
    fleet.store.mode = "ok"
    fleet.store.reset_connections()
    record.say("the store is back")


async def scenario(record):
    fleet = rig.Fleet(routers=3, targets_per_zone=6)
    fleet.organisations = [organisation(
        "greedy", "greedy-key", ratePerS=RATE, burstSize=BURST)]
    async with fleet:
        await fleet.wait_ready()
        await asyncio.sleep(SETTLED_S)
        begun = time.monotonic()
        until = begun + CALM_S + DOWN_S + BEHIND_S
        statuses = {}
        tasks = [asyncio.create_task(press(
            fleet, f"greedy-{i}", fleet.routers[i % 3], until, statuses))
            for i in range(CALLERS)]
        await asyncio.sleep(CALM_S)
        if rig.TROUBLE:
            await disrupt(fleet, record)
        await asyncio.gather(*tasks)
        ran = sorted(run.at for runs in fleet.truth.runs.values()
                     for run in runs if run.at > begun)
        by_second = {}
        for at in ran:
            second = int(at - begun)
            by_second[second] = by_second.get(second, 0) + 1
        record.attempts(fleet.truth, lambda a: a.status == 200)
        record.say(f"answers by status: {statuses}")
        record.say(f"runs in each second: {by_second}")
        most = most_within(ran, WINDOW_S)
        record.say(f"most runs in {WINDOW_S:.0f} s: {most}, allowed "
                   f"{ALLOWED:.0f}")
        return most > ALLOWED


rig.main(__file__, scenario)
