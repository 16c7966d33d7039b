"""The router as real processes, against stand-ins of the users' platform."""

import asyncio
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from caller import ask_directory, get  # noqa: E402
from fleet import FILES, LOOKUP, ORDER, Route, run  # noqa: E402

KNOWN_S = 10.0  # until all instances know each other


def test_requests_of_all_kinds_are_served():
    async def scenario(fleet):
        await fleet.load(2)
        assert fleet.truth.served() == 1.0
        assert len(fleet.truth.asked) > 100

    run(scenario)


def test_callers_are_sent_to_routers_of_their_data_centre():
    async def scenario(fleet):
        await asyncio.sleep(1.5)
        for router in fleet.routers:
            for zone, expected in zip("abc", fleet.routers):
                assert await ask_directory(router, zone) == [expected.front]

    run(scenario)


def test_pipelined_requests_are_worked_on_together():
    async def scenario(fleet):
        for target in fleet.targets_of("stock"):
            target.work_s = 0.2
        ip, _, port = fleet.routers[0].front.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        began = time.monotonic()
        for i in range(4):
            name = f"p-{i}"
            fleet.truth.ask(name, "stock", True).status = 200
            writer.write(wire.format_message(
                f"GET /look/{i} HTTP/1.1",
                [("Host", "shop.example"), ("X-Vanillapost-Attempt-Id", name),
                 ("X-Vanillapost-Deadline-Ms", 2000)], length=False))
        for i in range(4):
            answer = await wire.read_message(reader, answer=True)
            assert answer.status == 200
            assert answer.header("X-Vanillapost-Attempt-Id") == f"p-{i}"
        assert time.monotonic() - began < 0.6
        writer.close()

    run(scenario)


def test_spoilt_and_lost_answers_never_reach_a_caller():
    async def scenario(fleet):
        for target in fleet.targets:
            target.spoil = 0.2
            target.lose = 0.1
        await fleet.load(3, routes=[LOOKUP, FILES, ORDER])
        lookups = [a for a in fleet.truth.asked.values() if a.repeatable]
        served = sum(a.status == 200 for a in lookups) / len(lookups)
        assert served > 0.85

    run(scenario)


def test_a_killed_target_costs_few_requests():
    async def scenario(fleet):
        load = asyncio.create_task(fleet.load(3, routes=[LOOKUP]))
        await asyncio.sleep(1)
        for target in fleet.targets_of("stock")[:2]:
            await target.stop()
        await load
        assert fleet.truth.served() > 0.97

    run(scenario)


def test_silent_targets_cost_few_requests():
    async def scenario(fleet):
        load = asyncio.create_task(fleet.load(4, routes=[LOOKUP]))
        await asyncio.sleep(1)
        for target in fleet.targets_of("stock")[:2]:
            target.dark = True
        await load
        assert fleet.truth.served() > 0.97

    run(scenario)


def test_a_draining_target_gets_nothing_new():
    async def scenario(fleet):
        leaving = fleet.targets_of("stock")[0]
        load = asyncio.create_task(fleet.load(4, routes=[LOOKUP]))
        await asyncio.sleep(1)
        await leaving.list_itself("draining")
        told = time.monotonic()
        await load
        late = [r for runs in fleet.truth.runs.values() for r in runs
                if r.target == leaving.id and r.at > told + 2]
        assert late == []
        assert fleet.truth.served() == 1.0

    run(scenario)


def test_an_evacuated_data_centre_gets_nothing_new():
    async def scenario(fleet):
        load = asyncio.create_task(fleet.load(5))
        await asyncio.sleep(1)
        await fleet.store.put("op", "evacuate/b", "{}")
        told = time.monotonic()
        await load
        out = {t.id for t in fleet.targets if t.zone == "b"}
        late = [r for runs in fleet.truth.runs.values() for r in runs
                if r.target in out and r.at > told + 2]
        assert late == []

    run(scenario)


def test_a_configuration_is_in_force_everywhere_and_never_goes_back():
    async def scenario(fleet):
        fleet.routes.append(Route("new", "shop.example", "/new/", "stock"))
        await fleet.write_config()
        await asyncio.sleep(1.5)
        old = dict(fleet.make_config(), version="r1")
        await fleet.store.put("op", "config", json.dumps(old))
        await fleet.store.forget_history()
        await asyncio.sleep(1.5)
        for router in fleet.routers:
            answer = await get(router.metrics, "/metrics")
            line = [text for text in answer.body.decode().splitlines()
                    if text.startswith("vanillapost_configuration_version")]
            assert line == [f"vanillapost_configuration_version "
                            f"{fleet.version}"]

    run(scenario)


def test_rows_of_other_writers_are_left_out():
    async def scenario(fleet):
        lying = {"address": "nowhere", "born": 1,
                 "info": {"service": "stock", "version": "v1", "zone": "a",
                          "maxConcurrency": 2},
                 "status": {"state": "ready", "sequence": 1,
                            "warmupLeft": "0ms"}}
        for key, value in (("x1", b"\xff\xfe"), ("x2", "[]"),
                           ("x3", '{"address":"127.0.0.1:1"}'),
                           ("x4", json.dumps(lying))):
            await fleet.store.put("servers", key, value)
        # A request that a router sent there would come in again.
        looped = fleet.routers[0]
        await fleet.store.put("servers", "x5",
                              json.dumps(dict(lying, address=looped.front)))
        await fleet.store.put("op", "config", '{"version":"r999"}')
        await asyncio.sleep(1)
        await fleet.load(1)
        assert fleet.truth.served() == 1.0
        assert "this router's own address" in looped.log.read_text()

    run(scenario)


def test_a_row_that_no_reader_can_read_holds_up_no_other():
    async def scenario(fleet):
        for table in ("servers", "op"):
            for key, row in (("s1", {}), ("s2", {"value": None}),
                             ("s3", {"value": "!!"}), ("s4", {"revision": -1}),
                             ("s5", {"key": 5}), ("s6", {"key": "\ud800"})):
                await fleet.store.put(table, key, row)
        fleet.routes.append(Route("new", "shop.example", "/new/", "stock"))
        await fleet.write_config()
        await fleet.add_target("stock", "a")
        await asyncio.sleep(1.5)
        for router in fleet.routers:
            assert await router.metric(
                "vanillapost_configuration_version") == fleet.version
            assert await router.metric("vanillapost_targets") == len(
                fleet.targets)
        await fleet.load(1)
        assert fleet.truth.served() == 1.0

    run(scenario)


def test_an_outage_of_the_store_costs_no_request():
    async def scenario(fleet):
        for mode in ("busy", "reset", "silent", "many"):
            fleet.store.mode = mode
            fleet.store.reset_connections()
            await fleet.load(1.5)
        fleet.store.mode = "ok"
        await fleet.load(1)
        assert fleet.truth.served() == 1.0

    run(scenario)


def test_targets_whose_rows_lapsed_in_an_outage_go_on_working():
    async def scenario(fleet):
        fleet.store.mode = "busy"
        await asyncio.sleep(2.5)
        for target in fleet.targets:
            await target.leave()
        load = asyncio.create_task(fleet.load(4))
        fleet.store.mode = "ok"
        await asyncio.sleep(1)
        for target in fleet.targets:
            await target.list_itself()
        await load
        assert fleet.truth.served() > 0.99

    run(scenario)


def test_a_router_learns_from_its_peers_while_the_store_is_away():
    async def scenario(fleet):
        fleet.store.mode = "reset"
        fleet.store.reset_connections()
        restarted = fleet.routers[1]
        restarted.signal(signal.SIGKILL)
        await restarted.wait_end()
        restarted.start()
        await restarted.wait_ready()
        await fleet.load(1)
        assert fleet.truth.served() > 0.97

    run(scenario)


def test_few_routers_follow_the_store_for_all():
    async def scenario(fleet):
        await asyncio.sleep(5)
        before = fleet.store.calls
        await asyncio.sleep(4)
        # Three readers, two tables, a call in two seconds each.
        assert fleet.store.calls - before <= 3 * 2 * 3
        await fleet.targets[0].list_itself("draining")
        await asyncio.sleep(1)
        told = time.monotonic()
        await fleet.load(2, routes=[LOOKUP])
        assert [r for runs in fleet.truth.runs.values() for r in runs
                if r.target == fleet.targets[0].id and r.at > told] == []

    run(scenario, routers=9)


# Two that joined at the same moment each got a list without the other, and
# never heard of it: there were readers too many, and owners of rates differed.
def test_routers_that_start_together_come_to_know_each_other():
    async def scenario(fleet):
        known = {}
        until = time.monotonic() + KNOWN_S
        while time.monotonic() < until:
            known = {r.name: await count_peers(r) for r in fleet.routers}
            if set(known.values()) == {len(fleet.routers) - 1}:
                return
            await asyncio.sleep(0.5)
        raise AssertionError(known)

    for _ in range(3):
        run(scenario, routers=12)


async def count_peers(router):
    answer = await get(router.settings["query_address"], "/v1/status")
    return len(json.loads(answer.body)["peers"])


def test_a_router_that_is_stopped_loses_no_request():
    async def scenario(fleet):
        for target in fleet.targets:
            target.work_s = 0.15
        load = asyncio.create_task(fleet.load(6))
        for router in fleet.routers[:2]:
            await asyncio.sleep(1.2)
            router.signal(signal.SIGTERM)
        await load
        for router in fleet.routers[:2]:
            assert await router.wait_end() == 0
        cut = [a for a in fleet.truth.asked.values() if a.status == 0]
        assert cut == []

    run(scenario)


def test_a_cold_target_gets_what_it_bears():
    async def scenario(fleet):
        load = asyncio.create_task(
            fleet.load(5, callers=24, pause_s=0.02, routes=[LOOKUP]))
        await asyncio.sleep(1)
        cold = await fleet.add_target("stock", "a", cold_s=3)
        await load
        assert any(r.target == cold.id for runs in fleet.truth.runs.values()
                   for r in runs)

    run(scenario)


def test_a_caller_that_leaves_ends_the_work_for_it():
    async def scenario(fleet):
        for target in fleet.targets_of("stock"):
            target.work_s = 1.0
        await fleet.caller("leaver").request(LOOKUP, give_up_s=0.2)
        await asyncio.sleep(0.3)
        assert all(t._running == 0 for t in fleet.targets)

    run(scenario)


def test_a_route_that_is_too_slow_gets_its_final_answer_in_time():
    async def scenario(fleet):
        for target in fleet.targets:
            target.work_s = 5
        caller = fleet.caller("slow")
        asked = await caller.request(ORDER, deadline_s=4)
        assert asked.status == 504
        assert asked.ended - asked.at < 2.0

    run(scenario)


def test_changed_settings_are_applied_with_and_without_a_signal():
    async def scenario(fleet):
        for router, hang_up in zip(fleet.routers, (True, False)):
            router.settings["answer_lifetime"] = "900ms"
            router._file.write_text(json.dumps(router.settings))
            if hang_up:
                router.signal(signal.SIGHUP)
            await asyncio.sleep(0.5 if hang_up else 3)
            answer = await get(router.directory,
                               "/resolve?name=x&region=r&zone=a")
            assert json.loads(answer.body)["ttl"] == "900ms"
        broken = fleet.routers[0]
        broken._file.write_text("{")
        broken.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert await broken.is_ready()
        assert "settings_not_applied" in broken.log.read_text()

    run(scenario)


def test_a_blocked_reader_of_the_log_blocks_no_request():
    async def scenario(fleet):
        router = fleet.routers[0]
        router.signal(signal.SIGTERM)
        await router.wait_end()
        read_end, write_end = os.pipe()
        router.start(output=write_end)
        await router.wait_ready()
        # More lines than the pipe holds, and nobody reads them.
        await fleet.load(6, callers=12, pause_s=0.03, routes=[LOOKUP])
        assert fleet.truth.served() > 0.99
        answer = await get(router.metrics, "/metrics")
        lost = [line for line in answer.body.decode().splitlines()
                if line.startswith("vanillapost_log_lines_lost")]
        assert lost
        os.close(read_end)
        os.close(write_end)

    run(scenario)


def test_refused_callers_are_told_when_to_come_back():
    async def scenario(fleet):
        for target in fleet.targets_of("ledger"):
            await target.stop()
        answer = None
        for i in range(3):
            ip, _, port = fleet.routers[0].front.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            name = f"r-{i}"
            fleet.truth.ask(name, "ledger", False).status = 503
            writer.write(wire.format_message(
                "POST /order/1 HTTP/1.1",
                [("Host", "shop.example"), ("X-Vanillapost-Attempt-Id", name),
                 ("X-Vanillapost-Deadline-Ms", 2000)], b"x"))
            began = time.monotonic()
            answer = await wire.read_message(reader, answer=True)
            writer.close()
            await asyncio.sleep(0.3)
        assert answer.status == 503
        assert 0 < float(answer.header("Retry-After")) < 2
        assert time.monotonic() - began < 1

    run(scenario)
