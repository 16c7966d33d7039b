"""Callers: ask the directory, keep its answer, connect, check answers."""

import asyncio
import json
import time
from urllib.parse import quote

import wire
from target import ID, SEAL, answer_body, seal_of

DEADLINE = "X-Vanillapost-Deadline-Ms"
SLACK_S = 1.5  # beyond the deadline, on a busy machine


class Caller:
    """Keeps a connection to one router for several requests. With `only` it
    asks that router and no other; a stubborn one uses an open connection
    until the router closes it, whatever the directory says."""

    def __init__(self, name, zone, fleet, truth, random, only=None,
                 stubborn=False):
        self._name = name
        self._zone = zone
        self._fleet = fleet
        self._truth = truth
        self._random = random
        self._only = only
        self._stubborn = stubborn
        self._count = 0
        self._addresses = []
        self._asked_at = 0.0
        self._link = None
        self._link_address = None

    async def _resolve(self):
        if self._only:
            self._addresses = [self._only.front]
        if time.monotonic() < self._asked_at + 2 and self._addresses or \
                self._only:
            return
        routers = list(self._fleet.routers)
        self._random.shuffle(routers)
        for router in routers[:3]:
            try:
                found = await asyncio.wait_for(
                    ask_directory(router, self._zone), 1)
            except (wire.Broken, OSError, asyncio.TimeoutError):
                continue
            if found:
                self._addresses = found
                self._asked_at = time.monotonic()
                return

    async def connect(self):
        if self._stubborn and self._link:
            return self._link
        await self._resolve()
        if self._link and self._link_address in self._addresses:
            return self._link
        self.drop()
        for address in self._random.sample(self._addresses,
                                           len(self._addresses)):
            ip, _, port = address.rpartition(":")
            try:
                self._link = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port)), 1)
                self._link_address = address
                return self._link
            except (OSError, asyncio.TimeoutError):
                continue
        return None

    def drop(self):
        if self._link:
            self._link[1].close()
        self._link = None

    def ask(self, route, deadline_s, mark=""):
        """Notes that a request is sent at the open connection."""
        self._count += 1
        asked = self._truth.ask(f"{self._name}-{self._count}{mark}",
                                route.service, route.repeatable)
        asked.route = route.name
        asked.router = self._link_address
        asked.deadline = asked.at + deadline_s
        return asked

    async def request(self, route, deadline_s=2.0, give_up_s=None, same=None):
        """One attempt; its outcome goes into the truth. `same` is the path and
        the body, where several requests share them."""
        link = await self.connect()
        if link is None:
            await asyncio.sleep(0.1)
            return None
        asked = self.ask(route, deadline_s)
        attempt_id = asked.attempt_id
        body = b"" if route.repeatable else attempt_id.encode() * 20
        method = "GET" if route.repeatable else "POST"
        path = f"{route.prefix}{self._count}"
        if same:
            path, body = same
        asked.sent = (method, path, body)
        headers = [("Host", route.host), (ID, attempt_id),
                   (DEADLINE, int(deadline_s * 1000))]
        link[1].write(wire.format_message(
            f"{method} {path} HTTP/1.1", headers, body, length=bool(body)))
        limit = give_up_s or deadline_s + SLACK_S
        try:
            answer = await asyncio.wait_for(
                wire.read_message(link[0], answer=True), limit)
            self.check(asked, answer)
        except wire.Broken:
            self.drop()
        except asyncio.TimeoutError:
            asked.status = -2 if give_up_s else -1
            self.drop()
        asked.ended = time.monotonic()
        return asked

    def check(self, asked, answer):
        asked.status = answer.status
        if (answer.header("Connection") or "").lower() == "close":
            self.drop()
        if not 200 <= answer.status < 300:
            return
        want = answer_body(asked.attempt_id, len(answer.body))
        if answer.header(SEAL) != seal_of(answer.body) or answer.body != want:
            self._truth.broken("MIXED", f"{asked.attempt_id} got a success "
                               "that no target gave for it")

    async def run(self, routes, pause_s, until):
        while time.monotonic() < min(until, self._fleet.load_ends):
            route = self._random.choice(routes)
            await self.request(route)
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * pause_s)
        self.drop()


async def get(address, path, host="x"):
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(wire.format_message(f"GET {path} HTTP/1.1",
                                         [("Host", host)], length=False))
        return await wire.read_message(reader, answer=True)
    finally:
        writer.close()


async def ask_directory(router, zone):
    answer = await get(router.directory,
                       f"/resolve?name=x&region=r&zone={quote(zone)}")
    if answer.status != 200:
        return []
    return json.loads(answer.body)["addresses"]
