"""Failures that users saw on their machines, one test each."""

import asyncio
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from caller import get  # noqa: E402
from fleet import BIN, LOOKUP, Fleet, Route  # noqa: E402
from target import ID  # noqa: E402

CONFIG_BOUND_S = 2.0  # from the acknowledgement of a version
NO_UTF8 = b"\xc1\xbf\x80 written by somebody else"
CONTACT_S = 3.0  # from a disruption on, until a router counts as in touch
VERSION = "vanillapost_configuration_version"
MEMBERS_READ_S = 7.0  # a router that hears nobody asks every 5 s
START_S = 5.0
SERVED = 0.95  # two of six routers are killed meanwhile


async def change_routes(fleet, changes=3):
    """Adds a route at a time; each has to be in force in time everywhere."""
    for i in range(changes):
        fleet.routes.append(
            Route(f"added{i}", "shop.example", f"/added{i}/", "stock"))
        await fleet.write_config()
        await asyncio.sleep(CONFIG_BOUND_S)
        versions = [await r.metric(VERSION) for r in fleet.routers]
        if versions != [fleet.version] * len(fleet.routers):
            fleet.truth.broken("CONFIG", f"{versions} are in force, "
                               f"{fleet.version} is acknowledged")


def play(judge, row):
    """Callers of six routers, half of which rely on the others for news,
    while a row that nobody can read is in the targets' table."""

    async def scenario():
        killed = set()
        async with Fleet(routers=6) as fleet:
            await fleet.wait_ready()
            await asyncio.sleep(3)
            keeper = asyncio.create_task(fleet.keep_running())
            load = asyncio.create_task(fleet.load(9))
            await fleet.store.put("servers", "i-other", row)
            await asyncio.sleep(0.5)
            # Who starts knows nothing, and asks for all rows.
            for router in fleet.routers[3:5]:
                router.process.kill()
                killed.add(router.front)
            await asyncio.sleep(0.5)
            await change_routes(fleet)
            await load
            keeper.cancel()
            assert fleet.truth.served() > SERVED
            judge(fleet, killed)

    asyncio.run(scenario())


def test_a_row_that_is_no_utf8_ended_routers():
    def judge(fleet, killed):
        assert fleet.ends == [("router-3", -9), ("router-4", -9)]

    play(judge, NO_UTF8)


def test_an_added_route_was_missing_while_routers_ended():
    def judge(fleet, _):
        fleet.truth.check_routes(CONFIG_BOUND_S)
        assert fleet.truth.violations == []

    play(judge, NO_UTF8)


def test_requests_were_cut_by_routers_that_ended():
    def judge(fleet, killed):
        cut = [a for a in fleet.truth.asked.values() if a.status <= 0]
        assert [a for a in cut if a.router not in killed] == []

    play(judge, NO_UTF8)


async def status_of(router, path, name):
    """What that router answers to a request on that path."""
    ip, _, port = router.front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(wire.format_message(
        f"GET {path} HTTP/1.1",
        [("Host", LOOKUP.host), ("X-Vanillapost-Attempt-Id", name),
         ("X-Vanillapost-Deadline-Ms", 2000)], length=False))
    answer = await wire.read_message(reader, answer=True)
    writer.close()
    return answer.status


def test_a_router_that_learnt_an_old_version_refused_an_added_route():
    async def scenario():
        async with Fleet(routers=2) as fleet:
            await fleet.wait_ready()
            old, starting = fleet.routers
            # Nobody can read what the operators write, and one starts again.
            fleet.store.mode = "busy"
            fleet.store.reset_connections()
            fleet.routes.append(
                Route("added", "shop.example", "/added/", "stock"))
            await fleet.write_config()
            starting.process.kill()
            starting.process.wait()
            starting.start()
            await starting.wait_ready()
            assert await starting.metric(VERSION) == await old.metric(VERSION)
            assert await status_of(starting, "/added/1", "first") == 503
            fleet.store.mode = "ok"
            await asyncio.sleep(CONFIG_BOUND_S)
            fleet.truth.ask("second", "stock", True)
            assert await status_of(starting, "/added/2", "second") == 200
            assert await status_of(starting, "/never/1", "third") == 404

    asyncio.run(scenario())


async def restore_store(fleet, age_s, away_s=1.0, rewrite_s=0.3):
    touch = fleet.truth.touch
    with touch.lasting(touch.core, touch.core_down):
        fleet.store.mode = "reset"
        fleet.store.reset_connections()
        await asyncio.sleep(away_s)
        lost = await fleet.store.restore(age_s)
        fleet.store.mode = "ok"
        await asyncio.sleep(rewrite_s)
        await fleet.store.write_again(lost)


def play_restore(change, is_out=lambda run: False, rewrite_s=0.3):
    """Four routers, one of which relies on the others for news, while the
    store comes back without the changes of the last seconds. Once a change is
    known, no request runs where `is_out`, restored store or not."""

    async def scenario():
        async with Fleet(routers=4) as fleet:
            await fleet.wait_ready()
            await asyncio.sleep(2.5)
            load = asyncio.create_task(fleet.load(16))
            await asyncio.sleep(1)
            await change(fleet)
            await asyncio.sleep(0.7)
            known = time.monotonic()
            await restore_store(fleet, age_s=3.0, rewrite_s=rewrite_s)
            await asyncio.sleep(3.2)
            # Fewer writes than were lost: revisions that were known before.
            await change_routes(fleet, changes=2)
            await load
            fleet.truth.check_routes(CONFIG_BOUND_S)
            fleet.truth.check_end()
            assert fleet.truth.violations == []
            assert fleet.truth.served() > SERVED
            assert [run for runs in fleet.truth.runs.values() for run in runs
                    if run.arrived > known and is_out(run)] == []

    asyncio.run(scenario())


def test_changes_after_a_restored_store_were_not_in_force():
    async def change(fleet):
        for _ in range(12):
            await fleet.write_config()

    play_restore(change)


def test_a_target_that_left_before_a_restore_was_in_use_again():
    left = []

    async def change(fleet):
        target = fleet.targets_of("stock")[0]
        left.append(target.id)
        await target.leave()

    play_restore(change, lambda run: run.target in left, rewrite_s=1.5)


def test_a_target_that_joined_before_a_restore_was_out_of_use():
    async def change(fleet):
        for target in fleet.targets_of("stock"):
            await target.leave()
        for zone in ("a", "b"):
            await fleet.add_target("stock", zone)

    play_restore(change, rewrite_s=1.5)


def test_an_evacuation_was_lifted_by_a_restored_store():
    async def change(fleet):
        await fleet.store.put("op", "evacuate/b", "{}")

    play_restore(change, lambda run: run.zone == "b", rewrite_s=1.5)


def test_a_router_that_could_not_read_the_members_stayed_alone():
    async def scenario():
        async with Fleet(routers=2) as fleet:
            await fleet.wait_ready()
            while not fleet.store.has("members", "list"):
                await asyncio.sleep(0.1)
            fleet.store.mode = "busy"
            fleet.store.reset_connections()
            alone = fleet.add_router()
            await asyncio.sleep(3)
            fleet.store.mode = "ok"
            await asyncio.sleep(MEMBERS_READ_S)
            assert await alone.metric("vanillapost_members") == 3

    asyncio.run(scenario())


def play_partition(cut, resets=False, judge=lambda fleet: None):
    """Six routers, of which some reach no target for some seconds; callers
    that know the addresses of these go on asking them."""

    async def scenario():
        async with Fleet(routers=6, proxied=True) as fleet:
            await fleet.wait_ready()
            await asyncio.sleep(2)
            routers = [fleet.routers[i] for i in cut]
            load = asyncio.gather(
                fleet.load(11),
                *(fleet.caller(f"direct-{r.name}", only=r).run(
                    fleet.routes, 0.05, time.monotonic() + 11)
                  for r in fleet.routers))
            await asyncio.sleep(1)
            with fleet.partitioned(*routers, resets=resets):
                bound = time.monotonic() + CONTACT_S
                await asyncio.sleep(6)
                end = time.monotonic()
            healed = end + CONTACT_S
            await load
            fleet.truth.check_end()
            assert fleet.truth.violations == []
            for router in fleet.routers:
                direct = f"direct-{router.name}"
                assert fleet.truth.served(bound, end, direct) > SERVED
                assert fleet.truth.served(healed, callers=direct) > SERVED
            judge(fleet)

    asyncio.run(scenario())


def test_callers_of_routers_without_targets_were_not_served():
    play_partition((0, 1, 3))


def test_callers_of_a_router_whose_connections_are_refused_were_not_served():
    play_partition((2, 5), resets=True)


def test_routers_called_themselves_cut_off_as_all_targets_were_silent():
    async def scenario():
        async with Fleet(routers=3, proxied=True) as fleet:
            await fleet.wait_ready()
            with fleet.partitioned(*fleet.routers):
                caller = fleet.caller("c")
                until = time.monotonic() + 4
                while time.monotonic() < until:
                    await caller.request(LOOKUP)
                found = await get(fleet.routers[0].directory,
                                  "/resolve?name=x&region=r&zone=a")
                assert found.status == 200
            await asyncio.sleep(1.5)
            since = time.monotonic()
            await fleet.load(2)
            assert fleet.truth.served(since) > SERVED

    asyncio.run(scenario())


def test_a_hang_up_at_the_start_ended_a_router():
    async def scenario():
        async with Fleet(routers=1) as fleet:
            router = fleet.routers[0]
            await router.wait_ready()
            router.process.kill()
            router.process.wait()
            # It stays where it reads its settings.
            settings = fleet.folder / "settings"
            os.mkfifo(settings)
            router.process = subprocess.Popen(
                [BIN / "vanillapost-router", "--settings", settings])
            until = time.monotonic() + START_S
            while not router.minds_hang_up() and time.monotonic() < until:
                await asyncio.sleep(0.01)
            router.signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            assert router.process.poll() is None

    asyncio.run(scenario())


# A relayed request got all attempts of its route once more at the peer.
def test_a_relayed_request_runs_on_no_more_targets_than_its_relay_says():
    async def scenario():
        async with Fleet(routers=1, targets_per_zone=2) as fleet:
            await fleet.wait_ready()
            for target in fleet.targets_of(LOOKUP.service):
                target.lose = 1.0
            for allowed, runs in (("", LOOKUP.attempts), (";attempts=1", 1),
                                  (";attempts=9", LOOKUP.attempts)):
                attempt_id = f"relayed{allowed[-1:]}"
                asked = fleet.truth.ask(attempt_id, LOOKUP.service, True)
                asked.route = LOOKUP.name
                asked.router = fleet.routers[0].front
                status = await ask_relayed(fleet.routers[0], attempt_id,
                                           "router-9" + allowed)
                assert status == 502, (allowed, status)
                assert len(fleet.truth.runs[attempt_id]) == runs, allowed

    asyncio.run(scenario())


# Once its peer had failed, the router that relayed a request made attempts of
# its own, beside those of the peer.
def test_a_router_adds_no_attempt_to_those_of_its_peer():
    async def scenario():
        async with Fleet(routers=3, proxied=True, targets_per_zone=2) as fleet:
            await fleet.wait_ready()
            cut_off = fleet.routers[0]
            caller = fleet.caller("early", only=cut_off)
            with fleet.partitioned(cut_off, resets=True):
                while "targets_unreachable" not in cut_off.log.read_text():
                    await caller.request(LOOKUP)
                for target in fleet.targets_of(LOOKUP.service):
                    target.lose = 1.0
                    target.work_s = 0.35
                asked = asyncio.create_task(
                    fleet.caller("relayed", only=cut_off).request(LOOKUP))
                while not fleet.truth.runs["relayed-1"]:
                    await asyncio.sleep(0.01)
            # It reaches the targets again before the peer has failed.
            assert (await asked).status == 502
            await asyncio.sleep(0.5)
            assert len(fleet.truth.runs["relayed-1"]) == LOOKUP.attempts

    asyncio.run(scenario())


async def ask_relayed(router, attempt_id, relayed_by):
    ip, _, port = router.front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(wire.format_message(
        f"GET {LOOKUP.prefix}{attempt_id} HTTP/1.1",
        [("Host", LOOKUP.host), (ID, attempt_id), ("Relayed-By", relayed_by)],
        length=False))
    try:
        answer = await asyncio.wait_for(
            wire.read_message(reader, answer=True), 3)
    finally:
        writer.close()
    return answer.status
