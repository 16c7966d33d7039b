"""Answers that were mixed with another, or lost with one that failed."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))

import wire  # noqa: E402
from fleet import FILES, Fleet  # noqa: E402
from target import ID, answer_body  # noqa: E402

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
