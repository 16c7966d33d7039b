"""Answers that were mixed with another, or lost with one that failed."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from fleet import FILES, LOOKUP, Fleet  # noqa: E402
from target import ID, SEAL, answer_body, seal_of  # noqa: E402

MIB = 1024 * 1024
# After the route's time-out, as the users' rules allow.
LATE_S = 0.5
READ_S = 3.0  # of silence, longer than the route's time-out


async def read_all(fleet, name, deadline_ms):
    """All bytes of a connection that asks for one download."""
    ip, _, port = fleet.routers[0].front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    fleet.truth.ask(name, FILES.service, True).status = 200
    writer.write(wire.format_message(
        f"GET {FILES.prefix}x HTTP/1.1",
        [("Host", FILES.host), (ID, name),
         ("X-Vanillapost-Deadline-Ms", deadline_ms)], length=False))
    began = time.monotonic()
    received = b""
    try:
        while piece := await asyncio.wait_for(reader.read(MIB), READ_S):
            received += piece
    except asyncio.TimeoutError:
        pass  # whoever reads judges by the time
    writer.close()
    return received, time.monotonic() - began


def play(stall):
    """A download that stops in the middle until the route's time-out."""

    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_ready()
            for target in fleet.targets_of(FILES.service):
                target.size = 6 * MIB
                target.stall = stall
            received, taken = await read_all(fleet, "stalled", 4000)
            head, _, rest = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            assert b"HTTP/1.1" not in rest
            assert b"problem+json" not in rest
            assert not rest.endswith(b"0\r\n\r\n")
            if stall == "length":
                whole = answer_body("stalled", 6 * MIB)
                assert len(rest) == 3 * MIB
                assert whole.startswith(rest)
            assert taken < FILES.timeout_ms / 1000 + LATE_S
            assert fleet.truth.violations == []

    asyncio.run(scenario())


def test_a_failure_was_written_into_a_download():
    play("length")


def test_a_chunked_download_that_failed_looked_complete():
    play("chunks")


async def send_half(request, attempt_id, writer):
    body = answer_body(attempt_id, 6 * MIB)
    writer.write(wire.format_message("HTTP/1.1 200 X", [
        (ID, attempt_id), (SEAL, seal_of(body))], body)[:4 * MIB])
    await writer.drain()
    await asyncio.sleep(0.3)
    wire.close(writer, reset=True)
    return False


async def ask_behind_a_download(fleet, number):
    """A download and three small requests on one connection; returns the
    statuses until its end."""
    ip, _, port = fleet.routers[0].front.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    for i, route in enumerate((FILES, LOOKUP, LOOKUP, LOOKUP)):
        name = f"behind-{number}-{i}"
        fleet.truth.ask(name, route.service, True).route = route.name
        writer.write(wire.format_message(
            f"GET {route.prefix}{name} HTTP/1.1",
            [("Host", route.host), (ID, name)], length=False))
    statuses = []
    try:
        while True:
            answer = await wire.read_message(reader, answer=True)
            statuses.append(answer.status)
            if len(statuses) == 4:
                break
    except (wire.Broken, ConnectionError):
        pass
    writer.close()
    return statuses


# Sound targets had answered them, and they ended with the connection.
def test_nothing_is_lost_behind_a_download_that_breaks():
    async def scenario():
        async with Fleet() as fleet:
            await fleet.wait_ready()
            for target in fleet.targets_of(FILES.service):
                target._answer = send_half
            ends = await asyncio.gather(*(
                ask_behind_a_download(fleet, n) for n in range(4)))
            assert ends == [[]] * 4, ends
            passed_on = [name for name, runs in fleet.truth.runs.items()
                         if runs and not name.endswith("-0")]
            assert passed_on == []
            for target in fleet.targets_of(FILES.service):
                vars(target).pop("_answer")
            ends = await asyncio.gather(*(
                ask_behind_a_download(fleet, n) for n in range(4, 8)))
            assert ends == [[200] * 4] * 4, ends
            assert fleet.truth.violations == []

    asyncio.run(scenario())


async def ask_targets_without_a_status(fleet, router, names):
    """One request each for a body, no body and a status of three nines."""
    answers = []
    for kind in ("status_000", "status_000_empty", "status_999"):
        for target in fleet.targets_of(LOOKUP.service):
            target.spoil_as = kind
        name = f"{names}-{kind}"
        fleet.truth.ask(name, LOOKUP.service, True).route = LOOKUP.name
        fleet.truth.asked[name].router = router.front
        ip, _, port = router.front.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(wire.format_message(
            f"GET {LOOKUP.prefix}x HTTP/1.1",
            [("Host", LOOKUP.host), (ID, name),
             ("X-Vanillapost-Deadline-Ms", 2000)], length=False))
        answers.append(await wire.read_message(reader, answer=True))
        writer.close()
        assert 1 <= len(fleet.truth.runs[name]) <= LOOKUP.attempts
    for target in fleet.targets_of(LOOKUP.service):
        target.spoil_as = None
    return answers


def are_own_failures(answers):
    """502, and not the 504 of one that waited for a further answer."""
    return all(answer.status == 502 and answer.header(SEAL) is None
               for answer in answers)


def test_an_answer_without_a_status_of_the_protocol_is_no_answer():
    async def scenario():
        async with Fleet(routers=1) as fleet:
            await fleet.wait_ready()
            router = fleet.routers[0]
            assert are_own_failures(
                await ask_targets_without_a_status(fleet, router, "direct"))
            after = await fleet.caller("after").request(LOOKUP)
            assert after.status == 200
            assert fleet.truth.violations == []

    asyncio.run(scenario())


def test_a_relayed_answer_without_a_status_is_no_answer():
    async def scenario():
        async with Fleet(routers=2, proxied=True) as fleet:
            await fleet.wait_ready()
            cut_off = fleet.routers[0]
            early = fleet.caller("early", only=cut_off)
            with fleet.partitioned(cut_off, resets=True):
                while "targets_unreachable" not in cut_off.log.read_text():
                    await early.request(LOOKUP)
                assert are_own_failures(await ask_targets_without_a_status(
                    fleet, cut_off, "relayed"))
            assert fleet.truth.violations == []

    asyncio.run(scenario())
