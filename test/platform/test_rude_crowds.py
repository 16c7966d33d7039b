"""Crowds of clients that don't behave, at each path and address of a router.

Nothing here depends on the speed of the machine: the process lives, its memory
and its descriptors stay under the limits that its settings and its environment
name, and an ordinary request is answered beside the crowd and behind it.
"""

import asyncio
import os
import resource
import sys
from contextlib import contextmanager
from pathlib import Path

sys.path.insert(0, os.path.dirname(__file__))

from crowd import END, Crowd  # noqa: E402
from fleet import FILES, LOOKUP, ORDER, ZONES, Fleet  # noqa: E402

MEMORY_MB = 32  # of the router, by its settings; its peak stays below it
DESCRIPTORS = 1024  # of the router, by its environment
FEW_DESCRIPTORS = 128  # where the crowd takes descriptors rather than memory
TRIES = 8  # of an ordinary request, each on a connection of its own
TRY_S = 2.0
REST_S = 0.5
LOG_END = 1500  # characters to show of a process that has ended
SMALL_BODY = 60_000  # bytes of a body below the limit, at the callers' address
LARGE_BODY = 1_000_000  # and at the others
PIECE = 1000
TOO_LARGE = 10 ** 9
SENT_OF_TOO_LARGE = 2_000_000
HEAD_BYTES = 16_000  # below `maxHeaderBytes`
AHEAD_BYTES = 4_000_000  # of requests sent ahead on one connection
LARGE_ANSWER = 900_000  # bytes
SLOTS = 200  # of targets whose answers are that large

BODIES = 400  # members of the crowds
LARGE_BODIES = 60
FAR_OVER = 60
FIELDS = 200
AHEAD = 40
READERS = 40
DESCRIPTOR_CROWD = 300


class Place:
    def __init__(self, address, path, route=None, body=LARGE_BODY,
                 bodies=LARGE_BODIES):
        self.address = address
        self.path = path
        self.host = route.host if route else "shop.example"
        self.body = body
        self.bodies = bodies

    def head(self, method, *lines, ended=True):
        text = "\r\n".join([f"{method} {self.path} HTTP/1.1",
                            f"Host: {self.host}", *lines])
        return text.encode() + b"\r\n" + (b"\r\n" if ended else b"")


def at_route(router):
    return Place(router.front, ORDER.prefix + "x", ORDER, SMALL_BODY, BODIES)


def at_no_route(router):
    return Place(router.front, "/nowhere", None, SMALL_BODY, BODIES)


def at_readiness(router):
    return Place(router.ready_address, "/readiness")


def at_directory(router):
    return Place(router.directory, "/resolve?name=x&region=r&zone=a")


def at_query(router):
    return Place(router.settings["query_address"], "/v2/state")


@contextmanager
def descriptors(count):
    """Of processes that are started meanwhile."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def peak_bytes(router):
    for line in Path(f"/proc/{router.process.pid}/status").read_text() \
            .splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def open_descriptors(router):
    return len(os.listdir(f"/proc/{router.process.pid}/fd"))


async def is_served(fleet, router, name):
    """Whether a request at a route and one for readiness are answered."""
    served = ready = False
    for i in range(TRIES):
        asked = await fleet.caller(f"{name}-{i}", only=router).request(
            FILES, deadline_s=TRY_S)
        served = served or bool(asked) and asked.status == 200
        ready = ready or await router.is_ready()
        if served and ready:
            return True
        await asyncio.sleep(REST_S)
    return False


def check_bounds(router, limit):
    assert router.process.poll() is None, router.log.read_text()[-LOG_END:]
    assert open_descriptors(router) <= limit
    assert peak_bytes(router) <= MEMORY_MB * 1_000_000, peak_bytes(router)


def play(place_of, crowd_of, limit=DESCRIPTORS, answer_bytes=0):
    async def scenario():
        async with Fleet(routers=1, targets_per_zone=1) as fleet:
            router = fleet.routers[0]
            router.kill()
            await router.wait_end()
            router.settings["memory_limit_mb"] = MEMORY_MB
            with descriptors(limit):
                router.start()
            await router.wait_ready()
            assert await is_served(fleet, router, "before")
            if answer_bytes:
                for zone in ZONES:
                    await fleet.add_target(LOOKUP.service, zone, slots=SLOTS,
                                           size=answer_bytes)
            async with crowd_of(place_of(router)):
                beside = await is_served(fleet, router, "beside")
                check_bounds(router, limit)
            assert beside
            assert await is_served(fleet, router, "behind")
            check_bounds(router, limit)

    asyncio.run(scenario())


def body_in_one_piece(place):
    head = place.head("POST", f"Content-Length: {place.body}")
    whole = head + b"x" * (place.body - 1)
    return Crowd(place.address, place.bodies, lambda: [whole])


def body_in_small_pieces(place):
    head = place.head("POST", f"Content-Length: {place.body}")
    count = place.body // PIECE - 1
    return Crowd(place.address, place.bodies,
                 lambda: [head, *[b"x" * PIECE] * count])


def body_in_chunks(place):
    head = place.head("POST", "Transfer-Encoding: chunked")
    chunk = b"%x\r\n" % PIECE + b"x" * PIECE + b"\r\n"
    whole = chunk * (place.body // PIECE - 1)
    return Crowd(place.address, place.bodies, lambda: [head, whole])


def body_far_over(place):
    head = place.head("POST", f"Content-Length: {TOO_LARGE}")
    chunked = place.head("POST", "Transfer-Encoding: chunked") + \
        b"%x\r\n" % TOO_LARGE
    heads = [head, chunked] * FAR_OVER
    return Crowd(place.address, FAR_OVER,
                 lambda: [heads.pop(), b"x" * SENT_OF_TOO_LARGE])


def many_short_fields(place):
    """Short of the end of the head."""
    fields = b"a:\r\n" * (HEAD_BYTES // 4)
    return Crowd(place.address, FIELDS,
                 lambda: [place.head("GET", ended=False) + fields])


def many_requests_ahead(place):
    head = place.head("GET")
    return Crowd(place.address, AHEAD,
                 lambda: [head * (AHEAD_BYTES // len(head))])


def slow_readers(place):
    if place.path.startswith(ORDER.prefix):
        place.path = LOOKUP.prefix + "x"
    if place.path == "/readiness":
        place.path = "/metrics"  # its largest answer
    return Crowd(place.address, READERS, lambda: [place.head("GET")] * 64,
                 reads=True)


def slow_senders(place):
    """A byte at a time, until nobody waits for the rest."""
    head = place.head("GET")
    return Crowd(place.address, DESCRIPTOR_CROWD,
                 lambda: [head[i:i + 1] for i in range(len(head) - 1)],
                 pause_s=0.2)


def stopping_half_way(place):
    head = place.head("POST", "Content-Length: 100")
    ways = [[head + b"x" * 50], [head[:20]], [], [head[:20], END]] * \
        DESCRIPTOR_CROWD
    return Crowd(place.address, DESCRIPTOR_CROWD, ways.pop)


def test_body_in_one_piece_at_route():
    play(at_route, body_in_one_piece)


def test_body_in_one_piece_at_no_route():
    play(at_no_route, body_in_one_piece)


def test_body_in_one_piece_at_readiness():
    play(at_readiness, body_in_one_piece)


def test_body_in_one_piece_at_directory():
    play(at_directory, body_in_one_piece)


def test_body_in_one_piece_at_query():
    play(at_query, body_in_one_piece)


def test_body_in_small_pieces_at_route():
    play(at_route, body_in_small_pieces)


def test_body_in_small_pieces_at_no_route():
    play(at_no_route, body_in_small_pieces)


def test_body_in_small_pieces_at_readiness():
    play(at_readiness, body_in_small_pieces)


def test_body_in_small_pieces_at_directory():
    play(at_directory, body_in_small_pieces)


def test_body_in_small_pieces_at_query():
    play(at_query, body_in_small_pieces)


def test_body_in_chunks_at_route():
    play(at_route, body_in_chunks)


def test_body_in_chunks_at_no_route():
    play(at_no_route, body_in_chunks)


def test_body_in_chunks_at_readiness():
    play(at_readiness, body_in_chunks)


def test_body_in_chunks_at_directory():
    play(at_directory, body_in_chunks)


def test_body_in_chunks_at_query():
    play(at_query, body_in_chunks)


def test_body_far_over_at_route():
    play(at_route, body_far_over)


def test_body_far_over_at_no_route():
    play(at_no_route, body_far_over)


def test_body_far_over_at_readiness():
    play(at_readiness, body_far_over)


def test_body_far_over_at_directory():
    play(at_directory, body_far_over)


def test_body_far_over_at_query():
    play(at_query, body_far_over)


def test_many_short_fields_at_route():
    play(at_route, many_short_fields)


def test_many_short_fields_at_no_route():
    play(at_no_route, many_short_fields)


def test_many_short_fields_at_readiness():
    play(at_readiness, many_short_fields)


def test_many_short_fields_at_directory():
    play(at_directory, many_short_fields)


def test_many_short_fields_at_query():
    play(at_query, many_short_fields)


def test_many_requests_ahead_at_route():
    play(at_route, many_requests_ahead)


def test_many_requests_ahead_at_no_route():
    play(at_no_route, many_requests_ahead)


def test_many_requests_ahead_at_readiness():
    play(at_readiness, many_requests_ahead)


def test_many_requests_ahead_at_directory():
    play(at_directory, many_requests_ahead)


def test_many_requests_ahead_at_query():
    play(at_query, many_requests_ahead)


def test_slow_readers_at_route():
    play(at_route, slow_readers, answer_bytes=LARGE_ANSWER)


def test_slow_readers_at_no_route():
    play(at_no_route, slow_readers, answer_bytes=LARGE_ANSWER)


def test_slow_readers_at_readiness():
    play(at_readiness, slow_readers, answer_bytes=LARGE_ANSWER)


def test_slow_readers_at_directory():
    play(at_directory, slow_readers, answer_bytes=LARGE_ANSWER)


def test_slow_readers_at_query():
    play(at_query, slow_readers, answer_bytes=LARGE_ANSWER)


def test_slow_senders_at_route():
    play(at_route, slow_senders, FEW_DESCRIPTORS)


def test_slow_senders_at_no_route():
    play(at_no_route, slow_senders, FEW_DESCRIPTORS)


def test_slow_senders_at_readiness():
    play(at_readiness, slow_senders, FEW_DESCRIPTORS)


def test_slow_senders_at_directory():
    play(at_directory, slow_senders, FEW_DESCRIPTORS)


def test_slow_senders_at_query():
    play(at_query, slow_senders, FEW_DESCRIPTORS)


def test_stopping_half_way_at_route():
    play(at_route, stopping_half_way, FEW_DESCRIPTORS)


def test_stopping_half_way_at_no_route():
    play(at_no_route, stopping_half_way, FEW_DESCRIPTORS)


def test_stopping_half_way_at_readiness():
    play(at_readiness, stopping_half_way, FEW_DESCRIPTORS)


def test_stopping_half_way_at_directory():
    play(at_directory, stopping_half_way, FEW_DESCRIPTORS)


def test_stopping_half_way_at_query():
    play(at_query, stopping_half_way, FEW_DESCRIPTORS)
