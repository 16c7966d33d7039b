"""Callers that are rude to a router, each kind with what is still judged."""

import asyncio
import time

import wire
from caller import DEADLINE, Caller
from target import ID

DEADLINE_S = 2.0
ODD_IDS = ("\xc1\xbf", "\xff\xfe", "\x80", '"\\', "%0d%0a", "i" * 900)
ODD_PATHS = ("x", "\xff\xc1", "%00", "?a=\xc1", "\xe9")
JUNK = (b"\x00" * 40, b"\xff\xfe\r\n\r\n", b"GET\r\n\r\n", b"\r\n" * 99,
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\x16\x03\x01\x02\x00\x01",
        b"GET / HTTP/9.9\r\nHost: x\r\n\r\n", b"A" * 70000,
        b"GET /look/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET /look/1 HTTP/1.1\r\n Folded: x\r\n\r\n",
        b"GET /look/1 HTTP/1.1\r\nX\x00: \x01\r\n\r\n",
        b"GET /look/\xff\xc1 HTTP/1.1\r\n\r\n",
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Content-Length: -1\r\n\r\n",
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Content-Length: 99999999999999999999\r\n\r\n",
        b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n")


class RudeCaller(Caller):
    def _head(self, route, asked, *headers, path="x"):
        method = "GET" if route.repeatable else "POST"
        asked.sent = (method, route.prefix + path, b"")
        return wire.format_message(
            f"{method} {route.prefix}{path} HTTP/1.1",
            [("Host", route.host), (ID, asked.attempt_id),
             (DEADLINE, int(DEADLINE_S * 1000)), *headers], length=False)

    async def be_rude(self, route):
        """Plays one kind on a new connection, and leaves."""
        self.drop()
        if await self.connect() is None:
            return
        kind = self._random.choice(
            (self._pipeline, self._slow, self._leave, self._junk, self._huge,
             self._odd_id, self._short_body, self._smuggle))
        try:
            await asyncio.wait_for(kind(*self._link, route), 6)
        except (OSError, wire.Broken, asyncio.TimeoutError):
            pass
        self.drop()

    async def run(self, routes, pause_s, until):
        while time.monotonic() < min(until, self._fleet.load_ends):
            await self.be_rude(self._random.choice(
                [r for r in routes if r.repeatable]))
            await asyncio.sleep(self._random.uniform(0.2, 1.8) * pause_s)

    async def _answer(self, reader, asked):
        try:
            answer = await wire.read_message(reader, answer=True)
            self.check(asked, answer)
        finally:
            asked.ended = time.monotonic()

    async def _pipeline(self, reader, writer, route):
        asked = [self.ask(route, DEADLINE_S) for _ in range(5)]
        for each in asked:
            # Judged only once its turn has come.
            each.status = -2
            writer.write(self._head(route, each))
        for each in asked:
            each.status = 0
            await self._answer(reader, each)

    async def _slow(self, reader, writer, route):
        asked = self.ask(route, DEADLINE_S)
        whole = self._head(route, asked)
        for i in range(0, len(whole), 20):
            writer.write(whole[i:i + 20])
            await asyncio.sleep(0.05)
        await self._answer(reader, asked)

    async def _leave(self, _, writer, route):
        asked = self._send(writer, route)
        await asyncio.sleep(self._random.uniform(0, 0.03))
        wire.close(writer, reset=self._random.random() < 0.5)
        asked.ended = time.monotonic()

    async def _junk(self, reader, writer, _):
        writer.write(self._random.choice(JUNK))
        await asyncio.wait_for(reader.read(100), 1)

    async def _huge(self, reader, writer, route):
        self._send(writer, route, ("X-Fill", "f" * 60000))
        await asyncio.wait_for(reader.read(100), 1)

    async def _odd_id(self, reader, writer, route):
        asked = self.ask(route, DEADLINE_S, self._random.choice(ODD_IDS))
        writer.write(self._head(route, asked,
                                path=self._random.choice(ODD_PATHS)))
        await self._answer(reader, asked)

    async def _short_body(self, reader, writer, route):
        self._send(writer, route, ("Content-Length", 500), body=b"x")
        await asyncio.sleep(self._random.uniform(0, 1))

    async def _smuggle(self, reader, writer, route):
        """A request in the body of another; if it runs, nobody sent it."""
        inner = b"GET /look/s HTTP/1.1\r\nHost: shop.example\r\n" + \
            f"{ID}: smuggled-{self._name}\r\n\r\n".encode()
        self._send(writer, route, ("Content-Length", 5),
                   ("Transfer-Encoding", "chunked"),
                   body=b"0\r\n\r\n" + inner)
        await asyncio.wait_for(reader.read(100), 1)

    def _send(self, writer, route, *headers, body=b""):
        """A request whose answer is not waited for."""
        asked = self.ask(route, DEADLINE_S)
        asked.status = -2
        writer.write(self._head(route, asked, *headers) + body)
        return asked
