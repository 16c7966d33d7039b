"""Quotas of organisations, which all routers keep together."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

from fleet import LOOKUP, Fleet  # noqa: E402
from limits import most_within  # noqa: E402
from test_organisations import ask, bearer, organisation  # noqa: E402

RATE = 20
BURST = 20
WINDOW_S = 5.0
SETTLED_S = 3  # routers know each other, and the limit is in force
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20


async def press(fleet, name, key, router, until, pause_s, statuses):
    """One caller after the other until then."""
    count = 0
    while time.monotonic() < until:
        count += 1
        statuses.append(await ask(
            fleet, router, f"{name}-{count}", LOOKUP, bearer(key)))
        await asyncio.sleep(pause_s)


def runs_of(fleet, name, since):
    return [run.at for runs in fleet.truth.runs.values() for run in runs
            if name in run.organisation and run.at > since]


def play(scenario, **wanted):
    async def run():
        fleet = Fleet(targets_per_zone=6, **wanted)
        fleet.organisations = [
            organisation("greedy", "greedy-key", ratePerS=RATE,
                         burstSize=BURST),
            organisation("modest", "modest-key", ratePerS=RATE,
                         burstSize=BURST)]
        async with fleet:
            await fleet.wait_ready()
            await asyncio.sleep(SETTLED_S)
            await scenario(fleet)
            fleet.truth.check_end()
            assert fleet.truth.violations == []

    asyncio.run(run())


async def press_all(fleet, seconds, during=None):
    """Far too many requests of one organisation at all routers, and a few of
    another at one. Returns their statuses."""
    until = time.monotonic() + seconds
    greedy, modest = [], []
    callers = [press(fleet, f"greedy-{i}", "greedy-key",
                     fleet.routers[i % len(fleet.routers)], until, 0.02,
                     greedy)
               for i in range(9)]
    callers.append(press(fleet, "modest", "modest-key", fleet.routers[0],
                         until, 0.5, modest))
    if during:
        callers.append(during())
    await asyncio.gather(*callers)
    return greedy, modest


def test_a_quota_binds_all_routers_together():
    async def scenario(fleet):
        begun = time.monotonic()
        greedy, modest = await press_all(fleet, 12)
        ran = runs_of(fleet, "greedy", begun)
        assert most_within(ran, WINDOW_S) <= ALLOWED
        # Nearly all of the quota is used, and another organisation has its own.
        assert len(ran) >= 0.8 * RATE * 12
        assert 429 in greedy and set(greedy) <= {200, 429}
        assert len(modest) >= 10 and set(modest) == {200}

    play(scenario)


def test_a_quota_holds_over_the_end_of_a_router():
    async def scenario(fleet):
        begun = time.monotonic()
        last = fleet.routers.pop()

        async def kill():
            await asyncio.sleep(4)
            last.kill()

        try:
            await press_all(fleet, 12, kill)
        finally:
            fleet.routers.append(last)
        ran = runs_of(fleet, "greedy", begun)
        assert most_within(ran, WINDOW_S) <= ALLOWED
        assert len(ran) >= 0.5 * RATE * 12

    play(scenario)
