"""Services that are moved to targets of another version, by an operator's
order, and moved back when the version is bad."""

import asyncio
import json
import os
import sys
import time
from contextlib import suppress

sys.path.insert(0, os.path.dirname(__file__))

from caller import get  # noqa: E402
from fleet import LOOKUP, START_S, ZONES, run  # noqa: E402

SERVICE = "stock"
KEY = f"rollout/{SERVICE}"
OLD, NEW = "v1", "v2"
SHARE, SLACK = 0.1, 50  # the routers' defaults
ROLLBACK_S = 5.0
SEEN_BAD = 50  # answers of a bad version until it has to be known for one
ARRIVAL_S = 0.5  # from a router's choice until a target reads the request


class Rollout:
    """An order, the targets of both versions, and what the store was told."""

    def __init__(self, fleet, time_limit_s):
        self.fleet = fleet
        self.time_limit_s = time_limit_s
        self.old = fleet.targets_of(SERVICE)
        self.new = []
        self.states = []  # as written, one after the other
        self.held_at_end = None  # requests at old targets when it completed
        self.ordered_at = None
        self.ended_at = None
        fleet.store.on_change = self._note

    def _note(self, table, key, value):
        if (table, key) != ("status", KEY):
            return
        row = json.loads(value)
        assert row["target"] == NEW
        self.states.append(row["state"])
        if row["state"] == "serving":
            return
        self.ended_at = self.ended_at or time.monotonic()
        if row["state"] == "completed" and self.held_at_end is None:
            self.held_at_end = sum(t.held for t in self.old)
            asyncio.get_running_loop().create_task(self._stop_old())

    async def _stop_old(self):
        """At once and without a word, as the platform does."""
        for target in self.old:
            target.reset_connections()
            await target.stop()
        await asyncio.sleep(2)
        for target in self.old:
            await self.fleet.store.remove("servers", target.id)

    async def begin(self, **faults):
        await self.fleet.store.put("op", KEY, json.dumps(
            {"service": SERVICE, "target": NEW,
             "duration": f"{self.time_limit_s}s"}))
        self.ordered_at = time.monotonic()
        for zone in ZONES:
            for _ in range(2):
                target = await self.fleet.add_target(SERVICE, zone,
                                                     version=NEW)
                for name, value in faults.items():
                    setattr(target, name, value)
                self.new.append(target)

    async def wait_for(self, condition, limit_s):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise TimeoutError(f"states {self.states}, "
                                   f"after {limit_s:.0f} s")
            await asyncio.sleep(0.02)

    async def wait_end(self):
        await self.wait_for(lambda: self.ended_at,
                            self.time_limit_s + START_S)

    def runs(self, targets, since=0.0):
        names = {t.id for t in targets}
        return [r for runs in self.fleet.truth.runs.values() for r in runs
                if r.target in names and r.arrived >= since]

    def check_exposure(self):
        """A bad version had its share at most, and nothing once it had shown
        what it is."""
        exposed = len(self.runs(self.new))
        everything = exposed + len(self.runs(self.old, self.ordered_at))
        assert 0 < exposed <= SHARE * everything + SLACK, (exposed, everything)
        failures = sorted(f for t in self.new for f in t.failures)
        if len(failures) >= SEEN_BAD:
            latest = failures[SEEN_BAD - 1] + ROLLBACK_S + ARRIVAL_S
            assert not self.runs(self.new, latest)

    def check_final(self, state):
        finals = [s for s in self.states if s != "serving"]
        assert finals == [state], self.states
        print(f"{state} {self.ended_at - self.ordered_at:.1f} s after the "
              f"order, {len(self.runs(self.new))} requests at the new targets")


def log_of(router):
    with suppress(FileNotFoundError):
        return router.log.read_text(errors="replace")
    return ""


def decider_of(fleet):
    """The router that has given a directive itself."""
    for router in fleet.routers:
        for line in log_of(router).splitlines():
            if '"rollout_phase"' in line and '"self"' in line:
                return router
    return None


def was_stopped(fleet):
    return any('"rollout_stopped"' in log_of(r) for r in fleet.routers)


class Load:
    """Callers of the service, for as long as the block lasts."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._ends = False

    async def __aenter__(self):
        self._calls = asyncio.create_task(self._run())
        await asyncio.sleep(1)
        return self

    async def __aexit__(self, *_):
        self._ends = True
        await self._calls

    async def _run(self):
        while not self._ends:
            await self._fleet.load(2, routes=[LOOKUP], callers=18,
                                   pause_s=0.04)


def test_a_good_version_is_completed_once_and_the_old_targets_are_empty():
    async def scenario(fleet):
        rollout = Rollout(fleet, 14)
        async with Load(fleet):
            await rollout.begin()
            await rollout.wait_end()
            ended = time.monotonic()
            await asyncio.sleep(4)
        rollout.check_final("completed")
        assert rollout.states[0] == "serving"
        assert rollout.held_at_end == 0
        assert len(rollout.runs(rollout.new, ended)) > 100
        assert fleet.truth.served() > 0.99

    run(scenario)


def roll_back(**faults):
    """A roll-out of a bad version."""

    async def scenario(fleet):
        rollout = Rollout(fleet, 25)
        async with Load(fleet):
            await rollout.begin(**faults)
            await rollout.wait_end()
            await asyncio.sleep(ARRIVAL_S + 1)
            told = time.monotonic()
            await asyncio.sleep(3)
        rollout.check_final("rolled_back")
        rollout.check_exposure()
        assert rollout.runs(rollout.new, told) == []
        assert fleet.truth.served() > 0.99

    run(scenario)


def test_a_version_that_fails_in_part_is_rolled_back():
    roll_back(fail=0.3)


def test_a_version_that_is_several_times_slower_is_rolled_back():
    roll_back(slow=6.0)


def test_another_router_goes_on_when_the_one_that_decides_is_killed():
    async def scenario(fleet):
        rollout = Rollout(fleet, 16)
        async with Load(fleet):
            await rollout.begin()
            await rollout.wait_for(lambda: decider_of(fleet), START_S)
            await asyncio.sleep(4)
            killed = decider_of(fleet)
            killed.kill()
            await killed.wait_end()
            await asyncio.sleep(3)
            killed.start()
            await rollout.wait_end()
            await asyncio.sleep(1)
        rollout.check_final("completed")
        assert rollout.held_at_end == 0

    run(scenario)


def test_a_lost_answer_and_a_store_that_is_away_leave_one_final_state():
    async def scenario(fleet):
        rollout = Rollout(fleet, 30)
        touch = fleet.truth.touch
        async with Load(fleet):
            await rollout.begin(fail=0.5)
            await rollout.wait_for(lambda: rollout.states, START_S)
            with touch.lasting(touch.core, touch.core_down):
                fleet.store.lose = 1.0  # what it is told it does
                await rollout.wait_for(lambda: was_stopped(fleet), START_S)
                await asyncio.sleep(1)
                fleet.store.mode = "reset"
                await asyncio.sleep(2)
                fleet.store.lose = 0.0
                fleet.store.mode = "ok"
            await rollout.wait_end()
            await asyncio.sleep(ARRIVAL_S + 1)
            told = time.monotonic()
            await asyncio.sleep(2)
        rollout.check_final("rolled_back")
        rollout.check_exposure()
        assert rollout.runs(rollout.new, told) == []

    run(scenario)


def test_routers_that_all_start_anew_know_what_was_completed():
    async def scenario(fleet):
        rollout = Rollout(fleet, 8)
        async with Load(fleet):
            await rollout.begin()
            await rollout.wait_end()
            await asyncio.sleep(3)  # the old targets have gone by then
        for router in fleet.routers:
            router.kill()
        for router in fleet.routers:
            await router.wait_end()
            router.start()
        await fleet.wait_ready()
        await asyncio.sleep(1)
        again = time.monotonic()
        async with Load(fleet):
            await asyncio.sleep(1)
        assert fleet.truth.served(again) > 0.99
        assert len(rollout.runs(rollout.new, again)) > 50
        rollout.check_final("completed")

    run(scenario)


def test_without_an_order_nothing_is_asked_or_sent():
    async def scenario(fleet):
        async with Load(fleet):
            await asyncio.sleep(1)
        assert not fleet.store.has("status", KEY)
        for router in fleet.routers:
            assert "rollout" not in log_of(router)
            metrics = await get(router.metrics, "/metrics")
            assert b'kind="rollout' not in metrics.body

    run(scenario)
