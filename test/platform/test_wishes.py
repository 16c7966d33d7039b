"""Targets that say in their answers that they leave, or that they want a
pause, while their rows say nothing of it."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

from fleet import FILES, LOOKUP, ORDER, run  # noqa: E402
from touch import DRAIN_S  # noqa: E402
from wishes import PAUSE_GRACE_S  # noqa: E402


def test_a_target_that_says_it_leaves_gets_nothing_new():
    async def scenario(fleet):
        leaving = fleet.targets_of("stock")[0]
        load = asyncio.create_task(
            fleet.load(6, routes=[LOOKUP], callers=24, pause_s=0.02))
        await asyncio.sleep(1)
        leaving.leaves = True
        told = time.monotonic()
        await load
        # Its peers tell a router that has not heard it itself.
        assert fleet.truth.wishes.arrivals(
            leaving.id, told + DRAIN_S + 0.5, time.monotonic()) == []
        assert fleet.truth.served() > 0.99

    run(scenario)


def test_a_failure_a_broken_answer_and_a_probe_say_it_too():
    async def scenario(fleet):
        failing, spoilt, idle = fleet.targets_of("stock")[:3]
        failing.fail = spoilt.lose = 1.0
        load = asyncio.create_task(
            fleet.load(5, routes=[LOOKUP], callers=24, pause_s=0.02))
        await asyncio.sleep(1)
        for target in (failing, spoilt, idle):
            target.leaves = True
        await load

    run(scenario)


def test_a_new_start_of_a_target_that_left_is_used():
    async def scenario(fleet):
        target = fleet.targets_of("ledger")[0]
        others = fleet.targets_of("ledger")[1:]
        load = asyncio.create_task(fleet.load(6, routes=[ORDER]))
        await asyncio.sleep(0.5)
        target.leaves = True
        await asyncio.sleep(3)
        # A row of the old start, written late, brings nothing back.
        await target.leave()
        await target.list_itself()
        again = time.monotonic()
        await asyncio.sleep(0.5)
        assert fleet.truth.wishes.arrivals(
            target.id, again, time.monotonic()) == []
        target.leaves = False
        target.begin_anew()
        await target.list_itself()
        for other in others[:3]:
            other.slow = 4.0
        await load
        assert fleet.truth.wishes.arrivals(
            target.id, again + 0.5, time.monotonic())

    run(scenario)


def test_a_target_that_wants_a_pause_gets_it():
    async def scenario(fleet):
        target = fleet.targets_of("stock")[0]
        load = asyncio.create_task(
            fleet.load(6, routes=[LOOKUP], callers=24, pause_s=0.02))
        await asyncio.sleep(1)
        target.pause = "2.5"
        told = time.monotonic()
        await asyncio.sleep(0.3)
        target.pause = None
        probes = target.probes
        await asyncio.sleep(1.9)
        assert target.probes <= probes + len(fleet.routers)
        await load
        # It works again once the pause is over.
        assert fleet.truth.wishes.arrivals(
            target.id, told + 2.8, time.monotonic())
        assert fleet.truth.served() > 0.99

    run(scenario)


def test_pauses_that_make_no_sense_are_not_kept():
    async def scenario(fleet):
        target = fleet.targets_of("stock")[0]
        for text in ("-1", "1e9", "nan", "99999999999", "", "soon",
                     "Fri, 04 Dec 2026 10:00:00 GMT"):
            target.pause = text
            await fleet.load(0.4, routes=[LOOKUP])
        target.pause = None
        since = time.monotonic()
        await fleet.load(2, routes=[LOOKUP], callers=24)
        assert fleet.truth.wishes.arrivals(target.id, since, time.monotonic())

    run(scenario)


def test_requests_are_refused_at_once_while_all_targets_pause():
    async def scenario(fleet):
        for target in fleet.targets_of("ledger"):
            target.pause = "4"
        await fleet.load(1.5, routes=[ORDER])
        for target in fleet.targets_of("ledger"):
            target.pause = None
        for router in fleet.routers:
            asked = await fleet.caller("late", only=router).request(ORDER)
            assert asked.status == 503
            # An eighth of the objective is what a request waits for room.
            assert asked.ended - asked.at < ORDER.objective_ms / 1000 / 8
        await asyncio.sleep(4 - PAUSE_GRACE_S)
        await fleet.load(2, routes=[ORDER, LOOKUP, FILES])

    run(scenario)
