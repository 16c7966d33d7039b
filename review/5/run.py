"""LOST: a backend crashes in the middle of downloads, and requests that wait
behind these on the same connections lose their answers, though their own
backends are sound and have made them.

Clients of router-0 send a download each, and three small requests behind it.
One of the seven backends of the downloads crashes while it sends.
"""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import bed as b  # noqa: E402
from bed import wire  # noqa: E402

MIB = 1024 * 1024
FILE_BYTES = 8 * MIB
DEADLINE_MS = 2500
CLIENTS = 12
BEHIND = 3
SEND_S = 1.6  # a file comes in two halves, so long after each other
ALLOWED = 3  # the rule: more than three times


class Client:
    def __init__(self, bed, address):
        self.bed, self.address = bed, address
        self.answers = {}
        self.lost = {}  # id: time of the end

    async def run(self, number):
        ip, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        waiting = [f"c{number}-file"]
        waiting += [f"c{number}-look{i}" for i in range(BEHIND)]
        # One request first, so that the connection is a kept one.
        await self._send(writer, f"c{number}-first", "/look/0")
        await self._answer(reader, f"c{number}-first")
        await self._send(writer, waiting[0], f"/file/{number}")
        for attempt in waiting[1:]:
            await asyncio.sleep(0.02)
            await self._send(writer, attempt, "/look/1")
        try:
            while waiting:
                await self._answer(reader, waiting[0])
                waiting.pop(0)
        except wire.Broken as failure:
            for attempt in waiting:
                self.lost[attempt] = time.monotonic()
                self.bed.record.note("client", "closed", id=attempt,
                                     why=failure)
        writer.close()

    async def _send(self, writer, attempt, path):
        self.bed.record.note("client", "sent", id=attempt)
        writer.write(wire.format_message(
            f"GET {path} HTTP/1.1",
            [("Host", self.bed.HOST), (b.ID, attempt),
             (b.DEADLINE, DEADLINE_MS)], length=False))

    async def _answer(self, reader, attempt):
        answer = await asyncio.wait_for(
            wire.read_message(reader, answer=True), DEADLINE_MS / 1000 + 1)
        self.answers[attempt] = answer.status
        self.bed.record.note("client", "answer", id=attempt,
                             status=answer.status)


async def send_slowly(_, headers, body, writer):
    whole = wire.format_message("HTTP/1.1 200 OK", headers, body)
    writer.write(whole[:FILE_BYTES // 2])
    await asyncio.sleep(SEND_S)
    writer.write(whole[FILE_BYTES // 2:])
    await writer.drain()
    return True


async def play():
    bed = b.Bed(HERE, [b.route("look", "/look/", "stock"),
                       b.route("files", "/file/", "archive", "download")],
                ["stock", "archive"])
    async with bed:
        for zone in "abc":
            await bed.add("stock", zone)
        for zone in "aaabbcc":
            backend = await bed.add("archive", zone, work_s=0.1,
                                    size=FILE_BYTES)
            backend.send = send_slowly
        await bed.start_routers()
        client = Client(bed, bed.routers[0].front)
        running = [asyncio.create_task(client.run(n)) for n in range(CLIENTS)]
        while sum(a.endswith("file") for a in bed.runs) < CLIENTS:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SEND_S / 2)  # the first halves are out
        files = Counter(ran[-1][0] for attempt, ran in bed.runs.items()
                        if attempt.endswith("file"))
        crashed, downloads = files.most_common(1)[0]
        if b.TROUBLE:
            bed.record.note(crashed, "crash", downloads=downloads)
            await next(x for x in bed.backends if x.id == crashed).stop()
        await asyncio.gather(*running)
        return judge(bed, client, crashed)


def judge(bed, client, crashed):
    """LOST as written, at any time: passed on to a sound backend, and the
    kept connection closed without an answer, more than three times."""
    lost = [a for a in client.lost if "look" in a and a in bed.runs and
            bed.runs[a][0][0] != crashed]
    bed.record.note("judge", "verdict", lost=len(lost), allowed=ALLOWED)
    print(f"{len(lost)} requests of sound backends lost, answered by these: "
          f"{sum(a in bed.answered for a in lost)}")
    if len(lost) <= ALLOWED:
        return []
    return [f"LOST {a}: run by {bed.runs[a][0][0]}, which is sound; its "
            "connection ended without an answer" for a in lost]


b.main(play)
