"""Stand-in of a target, as the users' platform has them, with its faults."""

import asyncio
import hashlib
import json
import time
from dataclasses import dataclass

import wire

ID = "X-Vanillapost-Attempt-Id"
SEAL = "X-Vanillapost-Response-Seal"
ORGANISATION = "X-Vanillapost-Tenant"
COLD_ROOM = 5  # requests beyond the rate that a cold target still bears
ODD_LOADS = ("", "1", "a,b,c", "-1,-5,0", ",,,,", "1,1,0,0", "nan,inf,1",
             "99999999999999999999,1,1", "0,0,2147483647,1", "1;2;3",
             "\xff\xfe", "0,0,2,-100", "1," * 2000, " 1 , 2 , 3 ")
ODD_WARMUPS = ("-5", "x", "", "1e99", "99999999999999999999", "0.5", "\xff")
ODD_HEALTH = (b"\x00\xffno answer\r\n\r\n", b"HTTP/1.1 200\r\n\r\n",
              b"HTTP/1.1 999999999999 X\r\nContent-Length: 0\r\n\r\n",
              b"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n",
              b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n"
              b"Content-Length: 5\r\n\r\n",
              b"HTTP/1.1 100 Continue\r\n\r\n" * 50, b"\r\n" * 9)
SPOILS = ("cut", "extra", "late", "unframed", "unsealed", "noise", "coded",
          "other_id", "drip", "tail", "headers", "interim", "bad_status",
          "bad_chunk", "two_lengths")


def answer_body(attempt_id, size):
    """What a target answers to that attempt; callers check it."""
    block = hashlib.sha256(attempt_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def seal_of(body):
    return hashlib.sha256(b"seal" + body).hexdigest()


@dataclass
class Run:
    """A request that a target began to work on."""

    at: float
    attempt_id: str
    service: str
    target: str
    method: str
    path: str
    body: bytes
    first: bool
    zone: str = ""
    arrived: float = 0.0
    organisation: tuple = ()  # each value of the header that names it
    has_key: bool = False


class Target:
    """Works on some requests at a time, queues a few, and is silent to more.

    Faults: `slow` multiplies work; `fail`, `lose`, `spoil` are shares of
    answers that are 500, lost after the run, or broken; `dark` is silence;
    `stall` ("length" or "chunks", its framing) stops in the middle of a body;
    `odd` is the share of nonsense in load headers and health answers. With
    `refuses` it says when it is full, and without it is silent then. With
    `leaves` all its answers say so, and with `pause` it turns all requests
    away and asks for that time (the text of the header). `name_limit` has its
    answers name the requests a second that it takes.
    """

    def __init__(self, name, service, zone, store, truth, random, slots=2,
                 queue=4, work_s=0.02, size=400, cold_per_s=3.4):
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.size = size
        self.cold_per_s = cold_per_s
        self.slow = 1.0
        self.fail = self.lose = self.spoil = self.odd = 0.0
        self.dark = False
        self.stall = None
        self.refuses = False
        self.leaves = False
        self.pause = None
        self.limit = None
        self.limit_in_probes = False
        self.probes = 0
        self.draining = False
        self.cold_until = 0.0
        self.born = int(time.time() * 1000)
        self.listed_address = None
        self._store = store
        self._truth = truth
        self._random = random
        self._server = wire.Server(self._serve)
        self._room = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._sequence = 0
        self._recent = []

    @property
    def address(self):
        return self._server.address

    async def start(self, ip, cold_s=0.0):
        await self._server.start(ip)
        self.cold_until = time.monotonic() + cold_s
        self.listed_address = self.listed_address or self.address

    async def start_again(self):
        """At the address that it had."""
        ip, _, port = self.address.rpartition(":")
        await self._server.start(ip, int(port))

    async def stop(self):
        await self._server.stop()

    def begin_anew(self):
        """A new incarnation under the same id."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.name_limit(None)
        self._truth.wishes.forget(self.id)

    def reset_connections(self, share=1.0):
        self._server.reset_connections(share, self._random)

    async def list_itself(self, state="ready"):
        self._sequence += 1
        left = max(self.cold_until - time.monotonic(), 0)
        await self._store.put("servers", self.id, json.dumps({
            "address": self.listed_address, "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "maxConcurrency": self.slots},
            "status": {"state": state, "sequence": self._sequence,
                       "warmupLeft": f"{int(left * 1000)}ms"}}))
        self.draining = state == "draining"
        if self.draining:
            self._truth.note_leaving(self.id)
        else:
            # Its entry had lapsed while it served.
            self._truth.leaving.pop(self.id, None)

    async def leave(self):
        await self._store.remove("servers", self.id)
        self._truth.note_leaving(self.id)

    def _is_odd(self):
        return self._random.random() < self.odd

    def _load(self):
        if self._is_odd():
            return ("X-Vanillapost-Backend-Load",
                    self._random.choice(ODD_LOADS))
        pace = int(100 * self.slow)
        return ("X-Vanillapost-Backend-Load",
                f"{self._running},{self._waiting},{self.slots},{pace}")

    async def _serve(self, reader, writer):
        while True:
            request = await wire.read_message(reader)
            arrived = time.monotonic()
            if self.dark:
                await asyncio.sleep(3600)
            if request.target == "/health":
                self._answer_health(writer)
                continue
            work = asyncio.create_task(self._work(
                request, arrived, writer))
            left = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait(
                (work, left), return_when=asyncio.FIRST_COMPLETED)
            if left in done:
                # The caller closed, or sent what it may not send yet.
                work.cancel()
                return
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
            if not work.result():
                return

    def name_limit(self, limit, in_probes=False):
        """A number, a text that is none, or nothing from now on."""
        self.limit = limit
        self.limit_in_probes = in_probes
        number = None if isinstance(limit, str) else limit
        self._truth.wishes.limits.note(self.id, number, time.monotonic())

    def _wishes(self, attempt_id):
        """Headers for what it asks of the router that sent the request."""
        headers = []
        now = time.monotonic()
        asked = self._truth.asked.get(attempt_id)
        if self.leaves:
            headers.append(("Server-Leaving", "1"))
            if asked:
                self._truth.wishes.note_leaves(asked.router, self.id, now)
        if self.limit is not None and (asked or self.limit_in_probes):
            headers.append(("Server-Limit", self.limit))
            if asked:
                self._truth.wishes.limits.note_told(asked.router, self.id,
                                                    now)
        return headers

    def _turn_away(self, attempt_id, writer):
        asked = self._truth.asked.get(attempt_id)
        try:
            pause_s = float(self.pause)
        except ValueError:
            pause_s = 0.0
        if asked and 0 < pause_s < 3600:
            self._truth.wishes.note_pause(asked.router, self.id,
                                          time.monotonic(), pause_s)
        writer.write(wire.format_message(
            "HTTP/1.1 503 Busy",
            [("X-Vanillapost-Not-Executed", "1"), (ID, attempt_id),
             ("Retry-After", self.pause), *self._wishes(attempt_id)]))

    def _answer_health(self, writer):
        self.probes += 1
        status = 503 if self.draining else 200
        left = max(self.cold_until - time.monotonic(), 0)
        if self._is_odd():
            writer.write(self._random.choice(ODD_HEALTH))
        name = "\x01\xff" if self._is_odd() else self.id
        headers = [("X-Vanillapost-Instance-Id", name), self._load(),
                   *self._wishes(None)]
        if self._is_odd():
            headers.append(("X-Vanillapost-Warmup-Ms",
                            self._random.choice(ODD_WARMUPS)))
        elif left > 0:
            headers.append(("X-Vanillapost-Warmup-Ms", int(left * 1000)))
        writer.write(wire.format_message(f"HTTP/1.1 {status} X", headers))

    async def _work(self, request, arrived, writer):
        """Whether the connection can be used again."""
        attempt_id = request.header(ID)
        wanted = request.header("X-Vanillapost-Target-Instance")
        if wanted and wanted != self.id:
            writer.write(wire.format_message(
                "HTTP/1.1 421 Misdirected",
                [("X-Vanillapost-Instance-Id", self.id)]))
            return True
        if asked := self._truth.asked.get(attempt_id):
            self._truth.wishes.note_arrival(asked, self.id, arrived)
        if self.pause is not None:
            self._turn_away(attempt_id, writer)
            return True
        if self._running + self._waiting >= self.slots + self.queue:
            if self.refuses:
                writer.write(wire.format_message(
                    "HTTP/1.1 503 Full", [("X-Vanillapost-Not-Executed", "1"),
                                          (ID, attempt_id), self._load()]))
                return True
            await asyncio.sleep(3600)
        self._waiting += 1
        try:
            await self._room.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self._note_run(request, arrived, attempt_id)
            await asyncio.sleep(self.work_s * self.slow)
        finally:
            self._running -= 1
            self._room.release()
        return await self._answer(request, attempt_id, writer)

    def _note_run(self, request, arrived, attempt_id):
        now = time.monotonic()
        self._truth.note_run(Run(
            now, attempt_id, self.service, self.id, request.method,
            request.target, request.body, False, self.zone, arrived,
            tuple(value for name, value in request.headers
                  if name.lower() == ORGANISATION.lower()),
            request.header("Authorization") is not None))
        if now < self.cold_until:
            self._recent = [t for t in self._recent if t > now - 1] + [now]
            if len(self._recent) > self.cold_per_s * 1.5 + COLD_ROOM:
                self._truth.broken("COLD", f"{self.id} got "
                                   f"{len(self._recent)} in a second")

    async def _answer(self, request, attempt_id, writer):
        if self._truth.deadly and self._truth.deadly.meets(request):
            return await self._truth.deadly.end(self)
        if self._random.random() < self.lose:
            wire.close(writer, reset=True)
            return False
        if self._random.random() < self.fail:
            body = b"failed"
            status = 500
        else:
            body = answer_body(attempt_id, self.size)
            status = 200
        headers = [(ID, attempt_id), (SEAL, seal_of(body)), self._load(),
                   *self._wishes(attempt_id)]
        last = self.draining or self._is_odd()
        if last:
            headers.append(("Connection", "close"))
        start = f"HTTP/1.1 {status} X"
        if self.stall:
            return await self._stall(start, headers, body, writer)
        if self._random.random() < self.spoil:
            return await self._spoil(start, headers, body, writer)
        writer.write(wire.format_message(start, headers, body))
        await writer.drain()
        return not last

    async def _stall(self, start, headers, body, writer):
        half = body[:len(body) // 2]
        if self.stall == "chunks":
            chunked = headers + [("Transfer-Encoding", "chunked")]
            writer.write(wire.format_message(start, chunked, length=False))
            writer.write(b"%x\r\n%s\r\n" % (len(half), half))
        else:
            whole = wire.format_message(start, headers, body)
            writer.write(whole[:len(whole) - len(body) + len(half)])
        await asyncio.sleep(3600)
        return False

    async def _spoil(self, start, headers, body, writer):
        kind = self._random.choice(SPOILS)
        whole = wire.format_message(start, headers, body)
        if kind == "late":
            writer.write(whole)
            await writer.drain()
            await asyncio.sleep(0.03)
            writer.write(whole)
        elif kind == "drip":
            for i in range(0, len(whole), 1 + len(whole) // 9):
                writer.write(whole[i:i + 1 + len(whole) // 9])
                await asyncio.sleep(0.005)
        else:
            writer.write(self._spoil_bytes(kind, start, headers, body, whole))
        await writer.drain()
        return kind in ("extra", "late", "drip", "interim")

    @staticmethod
    def _spoil_bytes(kind, start, headers, body, whole):
        def with_headers(*others):
            return wire.format_message(start, [*headers, *others], body)

        plain = [h for h in headers if h[0] != SEAL]
        other = [(n, v if n != ID else "another-id") for n, v in headers]
        chunked = wire.format_message(
            start, [*headers, ("Transfer-Encoding", "chunked")], length=False)
        return {
            "cut": whole[:-9],
            "extra": whole * 2,
            "unframed": wire.format_message(start, headers, body, False),
            "unsealed": wire.format_message(start, plain, body),
            "noise": b"\x00\xffno answer\r\n\r\n",
            "coded": with_headers(("Content-Encoding", "gzip")),
            "other_id": wire.format_message(start, other, body),
            "tail": whole + b"\xff" * 9,
            "headers": with_headers(("X\xff", "\xc1\x01"), ("Y", "y" * 70000)),
            "interim": b"HTTP/1.1 102 Wait\r\n\r\n" + whole,
            "bad_status": whole.replace(b"HTTP/1.1 ", b"HTTP/1.1 -", 1),
            "bad_chunk": chunked + b"fffffffffffffffff\r\n" + body,
            "two_lengths": with_headers(("Content-Length", len(body) + 40)),
        }[kind]
