"""Planned stops of routers, with callers that go on as long as they may."""

import asyncio
import os
import signal
import sys
import time
from dataclasses import replace

sys.path.insert(0, os.path.dirname(__file__))

from fleet import LOOKUP, ORDER, Fleet, Route  # noqa: E402
from pipeline import Pipeline, cut_by_stop  # noqa: E402

GRACE_S = 6.0
# As at the users' second deployment: lookups time out early.
STOCK_CHECK = replace(LOOKUP, timeout_ms=1100, objective_ms=300, attempts=1)
ADDED = Route("added", "shop.example", "/added/", "stock")


async def write_configurations(fleet, pause_s, until):
    """New versions, of which every second one lacks a route."""
    while time.monotonic() < until:
        await asyncio.sleep(pause_s)
        fleet.routes = [STOCK_CHECK, ORDER] + \
            ([ADDED] if ADDED not in fleet.routes else [])
        await fleet.write_config()


async def ask_for_unknown_routes(fleet, until):
    """Refused with 404, on connections of their own."""
    while time.monotonic() < until:
        for router in fleet.routers:
            caller = fleet.caller(f"unknown-{time.monotonic():.3f}",
                                  only=router)
            await caller.request(ADDED, deadline_s=1.0, give_up_s=1.5)
            caller.drop()
        await asyncio.sleep(0.2)


async def stop_in_turn(fleet, routers, gap_s):
    """Each ends before the next one is stopped, and is not started again."""
    stops = {}
    for router in routers:
        router.ours = True
        stops[router.front] = time.monotonic()
        router.signal(signal.SIGTERM)
        assert await router.wait_end(GRACE_S + 2) == 0
        await asyncio.sleep(gap_s)
    return stops


# LOST at an operator's: lookups that pipeline were passed on to a target and
# cut as their router ended, beside refusals and targets that answer in no time.
def test_routers_stopped_in_turn_cut_no_pipelined_request():
    async def scenario():
        async with Fleet(routers=6, targets_per_zone=3) as fleet:
            for target in fleet.targets:
                target.work_s = 0.12
                target.slots = 4
            fleet.routes = [STOCK_CHECK, ORDER]
            await fleet.write_config()
            await fleet.wait_ready()
            slow = fleet.targets_of("stock")[:2]
            for target in slow:
                target.slow = 12.0
            await asyncio.sleep(3)
            stopped = fleet.routers[:3]
            until = time.monotonic() + 24
            pipelines = [
                Pipeline(fleet, router, f"p{number}-{router.name}",
                         STOCK_CHECK, pause_s, 1.5)
                for router in stopped
                for number, pause_s in enumerate((0.06, 0.1, 0.15))]
            running = [asyncio.create_task(each.run(until))
                       for each in pipelines]
            beside = [
                asyncio.create_task(write_configurations(fleet, 1.5, until)),
                asyncio.create_task(ask_for_unknown_routes(fleet, until))]
            await asyncio.sleep(1)
            stops = await stop_in_turn(fleet, stopped, 0.5)
            await asyncio.gather(*running)
            for task in beside:
                task.cancel()
            await asyncio.gather(*beside, return_exceptions=True)
            cut = [asked.attempt_id for each in pipelines
                   for asked in each.asked
                   if cut_by_stop(asked, fleet.truth.runs[asked.attempt_id],
                                  stops[each.router.front], GRACE_S)]
            assert cut == []
            assert all(each.told for each in pipelines)
            # Until then each was served.
            assert all(len(each.asked) > 5 for each in pipelines)

    asyncio.run(scenario())
