"""Targets that name the requests a second that they take from all routers
together."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

from fleet import FILES, LOOKUP, ORDER, run  # noqa: E402
from limits import KNOWN_S, allowed, most_within  # noqa: E402

STRONG = {"callers": 24, "pause_s": 0.02}


def most_seen(fleet, target, since):
    """Requests of all routers in some window, whoever was told."""
    return most_within(
        [at for _, at in fleet.truth.wishes.arrivals_of(target.id)
         if at > since])


async def limit_one(fleet, limit, seconds, in_probes=False):
    """Load for that time; after a second a target names a limit."""
    target = fleet.targets_of("stock")[0]
    load = asyncio.create_task(fleet.load(seconds, routes=[LOOKUP], **STRONG))
    await asyncio.sleep(1)
    target.name_limit(limit, in_probes)
    return target, load


def play_limited(during, limit=2.0, seconds=9, in_probes=False, **wanted):
    """Load while a target names a limit, and something happens."""

    async def scenario(fleet):
        target, load = await limit_one(fleet, limit, seconds, in_probes)
        named = time.monotonic()
        await during(fleet, target)
        await load
        assert most_seen(fleet, target, named + KNOWN_S) <= allowed(limit)
        # It is used as far as it wants to be.
        lasted = time.monotonic() - named - KNOWN_S
        got = [at for _, at in fleet.truth.wishes.arrivals_of(target.id)
               if at > named + KNOWN_S]
        assert len(got) > limit * lasted / 3

    run(scenario, **wanted)


async def nothing(*_):
    pass


def test_a_limit_binds_all_routers_together():
    play_limited(nothing, routers=6)


def test_a_limit_that_probes_tell_binds_as_well():
    play_limited(nothing, routers=6, in_probes=True)


def test_a_limit_below_one_request_a_second_is_kept():
    play_limited(nothing, limit=0.7, seconds=11, routers=6)


def test_a_limit_holds_over_restarts_of_all_routers():
    async def restart(fleet, _):
        await asyncio.sleep(KNOWN_S)
        for i, router in enumerate(fleet.routers):
            if i % 2:
                router.kill()
            else:
                fleet.truth.touch.note_kill(router.front)
                router.signal(signal.SIGTERM)
            await router.wait_end()
            router.start()
            await router.wait_ready()

    play_limited(restart, seconds=30)


def test_a_limit_binds_where_news_of_it_is_lost():
    async def lose(fleet, _):
        with fleet.truth.touch.lasting(
                *(fleet.truth.touch.machine[r.front] for r in fleet.routers)):
            fleet.relay.loss = {way: 0.5 for way in fleet.relay.pairs()}
            await asyncio.sleep(6)
            fleet.relay.loss = {}

    play_limited(lose, routers=6, relayed=True)


def test_a_limit_binds_a_fleet_in_which_members_are_probed():
    play_limited(nothing, routers=26)


def test_what_is_beyond_all_limits_is_refused_at_once():
    async def scenario(fleet):
        limit = 1.5
        targets = fleet.targets_of("ledger")
        load = asyncio.create_task(fleet.load(9, routes=[ORDER], **STRONG))
        await asyncio.sleep(1)
        for target in targets:
            target.name_limit(limit)
        since = time.monotonic() + KNOWN_S
        await load
        asked = [a for a in fleet.truth.asked.values() if a.at > since]
        for target in targets:
            assert most_seen(fleet, target, since) <= allowed(limit)
        refused = [a for a in asked if a.status == 503]
        # An eighth of the objective is what a request waits for room.
        slow = [a for a in refused
                if a.ended - a.at > ORDER.objective_ms / 1000 / 8 + 0.05]
        assert len(slow) <= len(refused) / 50
        assert not [a for a in asked if a.status not in (200, 503, 0)]
        served = sum(a.status == 200 for a in asked)
        assert served > limit * len(targets) * (9 - 1 - KNOWN_S) / 2

    run(scenario)


def test_a_target_whose_limit_has_ended_is_used_by_all_again():
    async def scenario(fleet):
        target, load = await limit_one(fleet, 2.0, 10)
        await asyncio.sleep(4)
        target.name_limit(None)
        ended = time.monotonic()
        await load
        after = [(asked, at) for asked, at in
                 fleet.truth.wishes.arrivals_of(target.id) if at > ended + 2]
        assert {asked.router for asked, _ in after} == {
            r.front for r in fleet.routers}
        assert len(after) > 40

    run(scenario)


def test_a_new_start_of_a_limited_target_has_no_limit():
    async def scenario(fleet):
        target, load = await limit_one(fleet, 0, 8)
        await asyncio.sleep(3)
        target.begin_anew()
        await target.list_itself()
        again = time.monotonic()
        await load
        assert len(fleet.truth.wishes.arrivals(
            target.id, again + 0.5, time.monotonic())) > 40

    run(scenario)


def test_limits_that_make_no_sense_are_not_kept():
    async def scenario(fleet):
        target = fleet.targets_of("stock")[0]
        for text in ("-1", "1e3", "nan", "inf", "", "few", "9" * 400, "2/s"):
            target.name_limit(text)
            await fleet.load(0.4, routes=[LOOKUP])
        since = time.monotonic()
        await fleet.load(2, routes=[LOOKUP, FILES], callers=24)
        assert len(fleet.truth.wishes.arrivals(
            target.id, since, time.monotonic())) > 20

    run(scenario)
