"""Callers that send further requests before the first is answered."""

import asyncio
import time

import wire
from caller import DEADLINE
from target import ID

LAST_OF_GRACE = 1 / 6  # in which work that goes on excuses an early request
EARLY_S = 3.0  # a request sent later than this is answered whatever happens
LATE_READ_S = 1.0  # beyond the deadline, for what is still on its way


class Pipeline:
    """One connection to one router, with a request every `pause_s` whether or
    not those before have been answered. It ends when it is told to, or when
    the router closes; what was not read then is sent again by real callers."""

    def __init__(self, fleet, router, name, route, pause_s, deadline_s):
        self._fleet = fleet
        self._name = name
        self._route = route
        self._pause_s = pause_s
        self._deadline_s = deadline_s
        self._open = []  # sent and not answered, in order
        self.router = router
        self.asked = []
        self.told = False
        self.closed = False

    async def run(self, until):
        ip, _, port = self.router.front.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return
        reading = asyncio.create_task(self._read(reader))
        while time.monotonic() < until and not (self.told or self.closed):
            self._send(writer)
            await asyncio.sleep(self._pause_s)
        await asyncio.wait([reading],
                           timeout=self._deadline_s + LATE_READ_S)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        writer.close()
        for asked in self._open:
            asked.ended = asked.ended or time.monotonic()

    def _send(self, writer):
        number = len(self.asked)
        route = self._route
        asked = self._fleet.truth.ask(f"{self._name}-{number}", route.service,
                                      route.repeatable)
        asked.route = route.name
        asked.router = self.router.front
        asked.deadline = asked.at + self._deadline_s
        asked.sent = ("GET", f"{route.prefix}{number}", b"")
        self.asked.append(asked)
        self._open.append(asked)
        writer.write(wire.format_message(
            f"GET {route.prefix}{number} HTTP/1.1",
            [("Host", route.host), (ID, asked.attempt_id),
             (DEADLINE, int(self._deadline_s * 1000))], length=False))

    async def _read(self, reader):
        try:
            while True:
                answer = await wire.read_message(reader, answer=True)
                asked = self._open.pop(0)
                asked.status = answer.status
                asked.ended = time.monotonic()
                if (answer.header("Connection") or "").lower() == "close":
                    self.told = True
        except (wire.Broken, OSError):
            self.closed = True
            for asked in self._open:
                asked.ended = time.monotonic()


def cut_by_stop(asked, runs, stopped, grace_s):
    """Whether a request that a target had begun got no whole answer because
    its router was stopped. Work that goes on late in the grace period excuses
    a request that was sent early."""
    if asked.status or not runs or not asked.ended:
        return False
    if not stopped <= asked.at <= stopped + grace_s + 1:
        return False
    excused = asked.at <= stopped + EARLY_S and \
        asked.ended >= stopped + grace_s * (1 - LAST_OF_GRACE)
    return not excused and asked.ended < asked.deadline
