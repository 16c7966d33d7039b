"""Targets that leave while many rows change, and news of it is late at some
routers: links lose datagrams, and the store turns some routers away."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

from fleet import LOOKUP, run  # noqa: E402
from touch import DRAIN_S  # noqa: E402

LARGE = 26  # routers: in a fleet of over 24 members are probed
GOAL_S = DRAIN_S / 2
STRONG = {"callers": 36, "pause_s": 0.02, "routes": [LOOKUP]}


async def change_rows(fleet, per_second=200):
    """Rows of targets that take no requests, as many targets report."""
    number = 0
    while True:
        for _ in range(per_second // 20):
            number += 1
            await fleet.store.put("servers", f"i-other-{number % 300}",
                                  json.dumps({
                "address": "127.0.0.1:9", "born": 1,
                "info": {"service": "archive", "version": "v1", "zone": "a",
                         "maxConcurrency": 1},
                "status": {"state": "draining", "sequence": number,
                           "warmupLeft": "0ms"}}))
        await asyncio.sleep(0.05)


def latest_arrival(fleet):
    """How long after its leaving a target got a request, at the worst."""
    late = [(run.arrived - fleet.truth.leaving[run.target], run.target,
             fleet.truth.asked[run.attempt_id].router)
            for runs in fleet.truth.runs.values() for run in runs
            if run.target in fleet.truth.leaving]
    return max(late, default=(0.0, "", ""))


def play_leaving(disturb, work_s=0.02, **wanted):
    """Targets leave one after the other during the disturbance, some by their
    row's removal alone."""

    async def scenario(fleet):
        targets = fleet.targets_of("stock")
        for target in targets:
            target.work_s = work_s
        changing = asyncio.create_task(change_rows(fleet))
        load = asyncio.create_task(fleet.load(9, **STRONG))
        async with disturb(fleet):
            await asyncio.sleep(2)
            for i, target in enumerate(targets[:8]):
                if i % 2:
                    await target.list_itself("draining")
                else:
                    await target.leave()
                await asyncio.sleep(0.4)
        await load
        changing.cancel()
        late, target, router = latest_arrival(fleet)
        assert fleet.truth.served() > 0.9
        assert late <= GOAL_S, f"{target} got a request of {router}"

    run(scenario, routers=LARGE, targets_per_zone=6, **wanted)


class TurnedAway:
    """A third of the routers is turned away by the store, for two seconds
    each, in series and overlapping."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._tasks = []

    async def __aenter__(self):
        for i in range(0, LARGE, 3):
            self._tasks.append(asyncio.create_task(self._turn_away(i)))

    async def _turn_away(self, number):
        proxy = self._fleet.store_proxies[number]
        await asyncio.sleep(number / LARGE)
        for _ in range(2):
            proxy.status = 503
            proxy.reset_connections()
            await asyncio.sleep(2)
            proxy.heal()
            await asyncio.sleep(0.3)

    async def __aexit__(self, *_):
        await asyncio.gather(*self._tasks)


class Lossy:
    """A third of the datagrams is lost, and no router has the time to answer
    questions, as readers of hundreds have not."""

    def __init__(self, fleet):
        self._relay = fleet.relay

    async def __aenter__(self):
        self._relay.loss = {way: 0.33 for way in self._relay.pairs()}
        self._relay.refuse = True

    async def __aexit__(self, *_):
        self._relay.loss = {}
        self._relay.refuse = False


def test_a_removed_target_is_not_kept_by_routers_that_the_store_turns_away():
    play_leaving(TurnedAway, proxied=True)


def test_a_leaving_target_gets_nothing_late_where_requests_wait():
    play_leaving(TurnedAway, work_s=0.12, proxied=True)


def test_a_leaving_target_gets_nothing_late_where_datagrams_are_lost():
    play_leaving(Lossy, relayed=True)
