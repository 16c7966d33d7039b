"""Targets whose bytes come without end, or a byte at a time."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from fleet import LOOKUP, ORDER, Fleet  # noqa: E402
from target import ID, SEAL  # noqa: E402

LATE_S = 0.5  # beyond the route's time-out, as the users' rules allow
# Of one process, with a dozen requests and all their answers in flight.
MAX_MEMORY_MIB = 120
# A target whose probes have failed in a row is not probed for 2.4 s.
MAX_UNPROBED_S = 4.0
# Ask for less than the 100 requests a second that one target serves.
FEW_CALLERS = 6
CHUNKED = ("HTTP/1.1 200 X\r\n%s: {0}\r\n%s: x\r\n"
           "Transfer-Encoding: chunked\r\n\r\n" % (ID, SEAL))
FORMS = {  # what begins an answer, and what then comes again and again
    "blank lines": ("", "\r\n"),
    "head": ("HTTP/1.1 200 X\r\n", "A: b\r\n"),
    "interim": ("", "HTTP/1.1 102 X\r\n\r\n"),
    "late answers": ("", "HTTP/1.1 200 X\r\n%s: other\r\n"
                     "Content-Length: 1\r\n\r\nx" % ID),
    "chunk size": (CHUNKED, "0"),
    "chunk extension": (CHUNKED + "3;", "x"),
    "trailers": (CHUNKED + "3\r\nabc\r\n0\r\n", "A: b\r\n"),
    "unproven body": ("HTTP/1.1 200 X\r\n%s: {0}\r\n\r\n" % ID, "x"),
    "refusal": ("HTTP/1.1 503 X\r\n%s: {0}\r\n"
                "X-Vanillapost-Not-Executed: 1\r\n\r\n" % ID, "x"),
    "failure": ("HTTP/1.1 500 X\r\n%s: {0}\r\n%s: x\r\n\r\n" % (ID, SEAL),
                "x"),
    "no answer": ("\x00\xff", "\x00\xff"),
}


async def send_without_end(target, form, slowly):
    """What the target answers from now on."""
    begin, again = FORMS[form]

    async def answer(request, attempt_id, writer):
        writer.write(begin.replace("{0}", attempt_id or "").encode("latin-1"))
        piece = again.encode("latin-1") * (1 if slowly else 4000)
        target.sending += 1
        try:
            while True:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01 if slowly else 0.001)
        finally:
            target.sending -= 1

    target._answer = answer
    if form == "refusal":  # which says that it did not run
        target._note_run = lambda *_: None
    else:
        vars(target).pop("_note_run", None)
    target.sending = 0


def resident_mib(router):
    for line in Path(f"/proc/{router.process.pid}/status").read_text() \
            .splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0


def play(slowly):
    async def scenario():
        async with Fleet(routers=1, targets_per_zone=1) as fleet:
            await fleet.wait_ready()
            router = fleet.routers[0]
            for form in FORMS:
                for target in fleet.targets:
                    await send_without_end(target, form, slowly)
                for route in (LOOKUP, ORDER):
                    asked = await fleet.caller(
                        f"{form}-{route.name}".replace(" ", "-"),
                        only=router).request(route, deadline_s=3)
                    taken = asked.ended - asked.at
                    assert asked.status in (502, 503, 504), (form, asked)
                    assert taken < route.timeout_ms / 1000 + LATE_S, form
                    assert resident_mib(router) < MAX_MEMORY_MIB, form
                await asyncio.sleep(0.2)
            await asyncio.sleep(LATE_S)
            # The router has closed what goes on.
            for target in fleet.targets:
                assert target.sending == 0, target.id
            text = router.log.read_text()
            assert slowly or "target_answer_bad" in text
            assert fleet.truth.violations == []

    asyncio.run(scenario())


def test_targets_that_send_without_end():
    play(slowly=False)


def test_targets_that_send_a_byte_at_a_time():
    play(slowly=True)


def test_an_endless_target_costs_others_little():
    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_ready()
            bad = fleet.targets_of("stock")[0]
            await send_without_end(bad, "trailers", False)
            began = time.monotonic()
            await fleet.load(4, routes=[LOOKUP])
            assert fleet.truth.served(began) > 0.97
            assert fleet.truth.violations == []

    asyncio.run(scenario())


def answer_probes_without_end(target, form):
    """What its health check answers from now on."""
    begin, again = FORMS[form]
    target.sending = 0
    target.begun = 0

    async def send(writer):
        writer.write(begin.replace("{0}", "x").encode("latin-1"))
        target.sending += 1
        target.begun += 1
        try:
            while not writer.is_closing():
                writer.write(again.encode("latin-1") * 4000)
                await writer.drain()
                await asyncio.sleep(0.001)
        except ConnectionError:
            pass
        finally:
            target.sending -= 1

    tasks = set()

    def answer(writer):
        task = asyncio.create_task(send(writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    target._answer_health = answer


# Only answers to requests were played; a router probes far more often.
def test_probes_that_are_answered_without_end():
    async def scenario():
        async with Fleet(routers=1) as fleet:
            await fleet.wait_ready()
            router = fleet.routers[0]
            bad = fleet.targets_of("stock")[1:]
            for form in FORMS:
                for target in bad:
                    answer_probes_without_end(target, form)
                began = time.monotonic()
                await fleet.load(1.5, FEW_CALLERS, routes=[LOOKUP])
                while not any(target.begun for target in bad) and \
                        time.monotonic() < began + MAX_UNPROBED_S:
                    await fleet.load(0.3, FEW_CALLERS, routes=[LOOKUP])
                assert resident_mib(router) < MAX_MEMORY_MIB, form
                assert fleet.truth.served(began) > 0.97, form
                for target in bad:
                    vars(target).pop("_answer_health")
                await asyncio.sleep(LATE_S)
                assert [t.id for t in bad if t.sending] == [], form
                assert any(target.begun for target in bad), form
            assert fleet.truth.violations == []

    asyncio.run(scenario())


# An answer that a peer passes on is bounded at both routers.
def test_relayed_answers_that_come_without_end():
    async def scenario():
        async with Fleet(proxied=True, targets_per_zone=1) as fleet:
            await fleet.wait_ready()
            cut_off = fleet.routers[0]
            with fleet.partitioned(cut_off, resets=True):
                await fleet.load(4, routes=[LOOKUP])
                for form in FORMS:
                    for target in fleet.targets:
                        await send_without_end(target, form, slowly=False)
                    asked = await fleet.caller(
                        f"relayed-{form}".replace(" ", "-"),
                        only=cut_off).request(LOOKUP, deadline_s=3)
                    taken = asked.ended - asked.at
                    assert asked.status in (502, 503, 504), (form, asked)
                    assert taken < LOOKUP.timeout_ms / 1000 + LATE_S, form
                    for router in fleet.routers:
                        assert resident_mib(router) < MAX_MEMORY_MIB, form
                    await asyncio.sleep(0.2)
                assert "peer router-" in cut_off.log.read_text()
            await asyncio.sleep(LATE_S)
            for target in fleet.targets:
                assert target.sending == 0, target.id

    asyncio.run(scenario())


async def ask_and_read_nothing(router, number):
    """A caller whose request is answered, and that takes no byte of it."""
    ip, _, port = router.front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port), limit=1024)
    writer.transport.pause_reading()
    writer.write(wire.format_message(
        f"GET {LOOKUP.prefix}{number} HTTP/1.1",
        [("Host", LOOKUP.host), (ID, f"unread-{number}"),
         ("X-Vanillapost-Deadline-Ms", 3000)], length=False))
    return reader, writer


# A whole body without end is passed on as it comes: what its caller does not
# take stays at the target.
def test_bodies_without_end_that_nobody_reads_are_bounded_in_sum():
    async def scenario():
        async with Fleet(routers=1, targets_per_zone=4) as fleet:
            await fleet.wait_ready()
            router = fleet.routers[0]
            FORMS["sealed body"] = (CHUNKED, "3e8\r\n" + "x" * 1000 + "\r\n")
            for target in fleet.targets_of("stock"):
                target.slots = 6
                await send_without_end(target, "sealed body", slowly=False)
            del FORMS["sealed body"]
            for number in range(40):
                fleet.truth.ask(f"unread-{number}", "stock", True)
            links = [await ask_and_read_nothing(router, number)
                     for number in range(40)]
            targets = fleet.targets_of("stock")
            peak = at_once = 0
            until = time.monotonic() + 2.5
            while time.monotonic() < until:
                peak = max(peak, resident_mib(router))
                at_once = max(at_once, sum(t.sending for t in targets))
                await asyncio.sleep(0.05)
            for _, writer in links:
                writer.close()
            assert at_once >= 10
            assert peak < MAX_MEMORY_MIB, peak
            await asyncio.sleep(LATE_S)
            for target in fleet.targets_of("stock"):
                assert target.sending == 0, target.id

    asyncio.run(scenario())


UPLOAD = 1_000_000  # bytes; a sixth of 32 MB has room for five
FIT = 5
NO_ROOM_S = 5.0  # after which a body that waits is refused


async def begin_upload(router, name, body):
    """A booking of which only that much of its body comes."""
    ip, _, port = router.front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(wire.format_message(
        f"POST {ORDER.prefix}{name} HTTP/1.1",
        [("Host", ORDER.host), (ID, name), ("Content-Length", UPLOAD)],
        length=False) + body)
    return reader, writer


# The bound on bodies was the same on machines of any size.
def test_large_bodies_take_a_share_of_the_memory_that_the_settings_name():
    async def scenario():
        async with Fleet(routers=1) as fleet:
            await fleet.wait_ready()
            router = fleet.routers[0]
            router.rewrite_settings(memory_limit_mb=32)
            router.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            fitting = [await begin_upload(router, f"fits-{i}", b"x" * 100_000)
                       for i in range(FIT)]
            await asyncio.sleep(0.5)
            one_more = await begin_upload(router, "waits", b"x" * 100_000)
            began = time.monotonic()
            await asyncio.sleep(1)
            held = await router.metric("vanillapost_body_bytes")
            assert held == FIT * UPLOAD, held
            await fleet.load(1, callers=4, routes=[LOOKUP])
            assert fleet.truth.served(began) > 0.97
            answer = await asyncio.wait_for(
                wire.read_message(one_more[0], answer=True), NO_ROOM_S + 1.5)
            assert answer.status == 503
            assert answer.header("Retry-After") is not None
            for _, writer in (*fitting, one_more):
                writer.close()
            await asyncio.sleep(1.5)
            assert await router.metric("vanillapost_body_bytes") == 0

    asyncio.run(scenario())
