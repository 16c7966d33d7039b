"""LOST: a planned stop cuts requests of a client that pipelines.

One client of router-0 sends a small idempotent request every 60 ms on one
connection, without waiting for the answer before. Router-0 gets SIGTERM.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import bed as b  # noqa: E402
from bed import wire  # noqa: E402

EVERY_S = 0.06  # between two requests; a backend works for 0.12 s
DEADLINE_MS = 2500
LATE_SEND_S = 3.0  # sent later than this, "still at work" excuses nothing


class Client:
    """Keeps to the directory's answer for three times its ttl, as the pages
    allow, and to one connection until the router closes or says so."""

    def __init__(self, bed, address, use_until):
        self.bed, self.address, self.use_until = bed, address, use_until
        self.sent = {}  # id: time, in order
        self.answers = {}  # id: status
        self.told_to_close = False
        self.closed_at = None

    async def run(self):
        ip, _, port = self.address.rpartition(":")
        reader, self.writer = await asyncio.open_connection(ip, int(port))
        reading = asyncio.create_task(self._read(reader))
        number = 0
        while time.monotonic() < self.use_until and not self.told_to_close \
                and not self.closed_at:
            number += 1
            attempt = f"p{number:04}"
            self.sent[attempt] = time.monotonic()
            self.bed.record.note("client", "sent", id=attempt)
            self.writer.write(wire.format_message(
                f"GET /look/{number} HTTP/1.1",
                [("Host", self.bed.HOST), (b.ID, attempt),
                 (b.DEADLINE, DEADLINE_MS)], length=False))
            await asyncio.sleep(EVERY_S)
        # No more is sent; what is on its way has its whole deadline.
        await asyncio.wait_for(
            asyncio.wait([reading], timeout=DEADLINE_MS / 1000 + 1), 10)
        reading.cancel()
        self.writer.close()

    async def _read(self, reader):
        try:
            while True:
                answer = await wire.read_message(reader, answer=True)
                waiting = [i for i in self.sent if i not in self.answers]
                self.answers[waiting[0]] = answer.status
                self.bed.record.note(
                    "client", "answer", id=waiting[0], status=answer.status,
                    its_id=answer.header(b.ID),
                    connection=answer.header("Connection"))
                if (answer.header("Connection") or "").lower() == "close":
                    self.told_to_close = True
        except wire.Broken as failure:
            self.closed_at = time.monotonic()
            self.bed.record.note("client", "closed", why=failure)


async def play():
    bed = b.Bed(HERE, [b.route("look", "/look/", "stock")], ["stock"])
    async with bed:
        for zone in "aabbcc":
            await bed.add("stock", zone)
        await bed.start_routers()
        router = bed.routers[0]
        found = await bed.resolve(router)
        if router.front not in found["addresses"]:
            raise b.CannotRun("the directory does not name router-0")
        use_until = time.monotonic() + 3 * b.seconds(found["ttl"])
        client = Client(bed, router.front, use_until)
        running = asyncio.create_task(client.run())
        await asyncio.sleep(0.15)
        stopped = time.monotonic()
        if b.TROUBLE:
            router.signal(signal.SIGTERM)
        await running
        if b.TROUBLE:
            await router.wait_end(b.GRACE_S + 2)
        return judge(bed, client, stopped)


def judge(bed, client, stopped):
    """LOST as written, around a planned stop."""
    broken = []
    for attempt, sent in client.sent.items():
        ran = bed.runs.get(attempt)
        planned = b.TROUBLE and stopped <= sent <= stopped + b.GRACE_S + 1
        if attempt in client.answers or not ran:
            continue
        if b.TROUBLE and not planned:
            continue
        # The backend was still at work in the last sixth of the grace period
        # on a request that was sent no later than 3 s after the SIGTERM.
        if b.TROUBLE and sent <= stopped + LATE_SEND_S:
            continue
        ended = client.closed_at or time.monotonic()
        if ended - sent >= DEADLINE_MS / 1000:
            continue  # the deadline was reached
        broken.append(f"LOST {attempt}: sent {sent - stopped:.3f} s after the "
                      f"stop began, run by {ran[0][0]}, connection ended "
                      f"{ended - sent:.3f} s later without its answer; the "
                      f"client was never told to close: "
                      f"{not client.told_to_close}")
    bed.record.note("judge", "verdict", broken=len(broken),
                    sent=len(client.sent), answered=len(client.answers))
    return broken


b.main(play)
