"""Planned stops of routers, with callers that go on as long as they may."""

import asyncio
import os
import signal
import sys
import time
from dataclasses import replace

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from caller import DEADLINE  # noqa: E402
from fleet import LOOKUP, ORDER, Fleet, Route  # noqa: E402
from pipeline import Pipeline, cut_by_stop  # noqa: E402
from target import ID  # noqa: E402

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
# cut as their router ended, beside refusals and targets that answer too late.
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


async def send_in_two_parts(router, route, attempt_id, head_at, body_at):
    """A request whose body comes late; returns its answer, or nothing."""
    ip, _, port = router.front.rpartition(":")
    await asyncio.sleep(max(head_at - time.monotonic(), 0))
    reader, writer = await asyncio.open_connection(ip, int(port))
    body = b"x" * 40
    text = wire.format_message(
        f"POST {route.prefix}1 HTTP/1.1",
        [("Host", route.host), (ID, attempt_id), (DEADLINE, 4000)], body)
    writer.write(text[:-20])
    await asyncio.sleep(max(body_at - time.monotonic(), 0))
    writer.write(text[-20:])
    try:
        return await asyncio.wait_for(
            wire.read_message(reader, answer=True), GRACE_S)
    except (wire.Broken, OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


# Bookings that were read late in the grace period were passed on, and cut with
# no answer as the process ended.
def test_a_booking_that_is_read_late_in_a_stop_is_refused_and_not_run():
    async def scenario():
        async with Fleet() as fleet:
            for target in fleet.targets_of("ledger"):
                target.work_s = 2.0
            order = replace(ORDER, timeout_ms=4000)
            fleet.routes = [LOOKUP, order]
            await fleet.write_config()
            await fleet.wait_ready()
            router = fleet.routers[0]
            router.ours = True
            stopped = time.monotonic() + 0.5
            late = [asyncio.create_task(send_in_two_parts(
                router, order, f"late-{number}", stopped - 0.2, stopped + at))
                for number, at in enumerate((3.6, 4.4, 5.0, 5.4))]
            for number in range(len(late)):
                asked = fleet.truth.ask(f"late-{number}", "ledger", False)
                asked.route = order.name
            await asyncio.sleep(max(stopped - time.monotonic(), 0))
            router.signal(signal.SIGTERM)
            answers = await asyncio.gather(*late)
            assert await router.wait_end(GRACE_S + 2) == 0
            # The first could be answered in time; the others could not.
            assert answers[0] and answers[0].status in (200, 503)
            assert [answer and answer.status for answer in answers[1:]] == \
                [503] * (len(late) - 1)
            for number, answer in enumerate(answers):
                assert answer.header("Connection") == "close"
                ran = fleet.truth.runs[f"late-{number}"]
                assert bool(ran) == (answer.status == 200)

    asyncio.run(scenario())
