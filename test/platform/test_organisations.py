"""Who a caller is: keys of organisations, and what targets learn of them."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from caller import DEADLINE  # noqa: E402
from fleet import LOOKUP, ORDER, Fleet, Route  # noqa: E402
from target import ID, ORGANISATION  # noqa: E402

OPEN = Route("open", "shop.example", "/open/", "stock", public=True)
APPLY_S = 2.5


def organisation(name, *keys, **more):
    return {"name": name, "apiKeys": list(keys), **more}


def bearer(key):
    return ("Authorization", f"Bearer {key}")


async def ask(fleet, router, attempt_id, route, *headers):
    """The status of one request on a connection of its own."""
    asked = fleet.truth.ask(attempt_id, route.service, route.repeatable)
    asked.route, asked.router = route.name, router.front
    ip, _, port = router.front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    method = "GET" if route.repeatable else "POST"
    writer.write(wire.format_message(
        f"{method} {route.prefix}x HTTP/1.1",
        [("Host", route.host), (ID, attempt_id), (DEADLINE, 2000), *headers],
        b"" if route.repeatable else b"order", length=not route.repeatable))
    try:
        asked.status = (await wire.read_message(reader, answer=True)).status
    finally:
        writer.close()
    asked.ended = time.monotonic()
    return asked.status


async def wait_in_force(fleet, key, status):
    """Until each router answers a request with the key so."""
    until = time.monotonic() + 20
    for number, router in enumerate(fleet.routers):
        count = 0
        while await ask(fleet, router, f"wait-{key}-{number}-{count}", LOOKUP,
                        bearer(key)) != status:
            assert time.monotonic() < until, (key, router.name)
            count += 1
            await asyncio.sleep(0.05)


def play(scenario, **wanted):
    async def run():
        fleet = Fleet(**wanted)
        fleet.routes.append(OPEN)
        fleet.organisations = [organisation("alpha", "a-key-1", "a-key-2"),
                               organisation("beta", "b-key")]
        async with fleet:
            await fleet.wait_ready()
            await scenario(fleet)
            fleet.truth.check_end()
            assert fleet.truth.violations == []

    asyncio.run(run())


def organisations_of(fleet, attempt_id):
    return [run.organisation for run in fleet.truth.runs[attempt_id]]


def test_a_target_learns_whose_key_a_caller_has():
    async def scenario(fleet):
        router = fleet.routers[0]
        for number, (key, name) in enumerate((
                ("a-key-1", "alpha"), ("a-key-2", "alpha"),
                ("b-key", "beta"))):
            for route in (LOOKUP, ORDER):
                attempt = f"known-{route.name}-{number}"
                # It names another organisation, and wants the truth removed.
                assert await ask(
                    fleet, router, attempt, route, bearer(key),
                    (ORGANISATION, "gamma"), (ORGANISATION.lower(), "delta"),
                    ("Connection", ORGANISATION)) == 200
                assert organisations_of(fleet, attempt) == [(name,)]
        assert not any(run.has_key for runs in fleet.truth.runs.values()
                       for run in runs)

    play(scenario)


def test_an_unknown_key_is_refused_and_a_public_route_needs_none():
    async def scenario(fleet):
        router = fleet.routers[0]
        for number, headers in enumerate((
                (), (bearer("other"),), (bearer("a-key"),),
                (("Authorization", "Basic a-key-1"),),
                (bearer(""),), ((ORGANISATION, "alpha"),))):
            assert await ask(fleet, router, f"unknown-{number}", LOOKUP,
                             *headers) == 401
            assert not fleet.truth.runs.get(f"unknown-{number}")
        for number, (headers, named) in enumerate((
                ((), ()), ((bearer("other"),), ()),
                (((ORGANISATION, "alpha"),), ()),
                ((bearer("b-key"),), ("beta",)))):
            attempt = f"public-{number}"
            assert await ask(fleet, router, attempt, OPEN, *headers) == 200
            assert organisations_of(fleet, attempt) == [named]
        assert not any(run.has_key for runs in fleet.truth.runs.values()
                       for run in runs)
        logs = "".join(r.log.read_text() for r in fleet.routers)
        assert "a-key" not in logs and "b-key" not in logs

    play(scenario)


# A router that starts while the store is away has the configuration from its
# peers, and must not let a key in again that was withdrawn.
def test_a_withdrawn_key_stays_out_and_an_added_one_is_taken():
    async def scenario(fleet):
        fleet.organisations = [organisation("alpha", "a-key-2", "a-key-3"),
                               organisation("beta")]
        await fleet.write_config()
        await wait_in_force(fleet, "a-key-3", 200)
        fleet.store.mode = "silent"
        fleet.store.reset_connections()
        restarted = fleet.routers[2]
        restarted.kill()
        await restarted.wait_end()
        restarted.start()
        await restarted.wait_ready()
        for number, router in enumerate(fleet.routers):
            for key in ("a-key-1", "b-key"):
                status = await ask(fleet, router, f"old-{key}-{number}", LOOKUP,
                                   bearer(key))
                # One that cannot know whether the key is new says so.
                assert status in (401, 503), (router.name, key, status)
            for key in ("a-key-2", "a-key-3"):
                assert await ask(fleet, router, f"kept-{key}-{number}", LOOKUP,
                                 bearer(key)) == 200
        fleet.store.mode = "ok"

    play(scenario)


def test_a_relayed_request_keeps_its_organisation():
    async def scenario(fleet):
        cut_off = fleet.routers[0]
        with fleet.partitioned(cut_off, resets=True):
            count = 0
            while "targets_unreachable" not in cut_off.log.read_text():
                await ask(fleet, cut_off, f"early-{count}", LOOKUP,
                          bearer("b-key"))
                count += 1
            assert await ask(fleet, cut_off, "relayed", LOOKUP,
                             bearer("b-key"), (ORGANISATION, "alpha")) == 200
        assert organisations_of(fleet, "relayed") == [("beta",)]

    play(scenario, proxied=True)
