"""Stands between routers on the loopback, for datagrams and questions.

Every router sees the others at addresses that belong to its view of them. The
addresses that routers tell each other are rewritten on the way, in place: all
of them are equally long.
"""

import asyncio
import re

import wire

REAL = 10  # second part of the addresses at which routers listen
FIRST_VIEW = 11
FIRST_HOST = 101
MAX_DATAGRAM = 60000


def address_of(block, number, view=REAL):
    return f"127.{view}.{block}.{FIRST_HOST + number}"


class _Ear(asyncio.DatagramProtocol):
    def __init__(self, relay, number):
        self._relay = relay
        self._number = number
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self._relay.carry(int(addr[0].split(".")[3]) - FIRST_HOST,
                          self._number, data)


class Relay:
    """Faults: `cut` holds (from, to) that hear nothing; `loss` is the share
    of datagrams that is lost, and `late_s` delays them, by (from, to).
    `refuse` closes connections, so that only datagrams pass."""

    def __init__(self, block, count, peer_port, query_port, random):
        self._block = block
        self._count = count
        self._peer_port = peer_port
        self._query_port = query_port
        self._random = random
        self._ears = {}
        self._servers = []
        self._known = re.compile(
            rb"127\.\d\d\.%d\.(\d\d\d):(%d|%d)\b" %
            (block, peer_port, query_port))
        self.cut = set()
        self.loss = {}
        self.late_s = {}
        self.refuse = False

    def seen_by(self, viewer, number):
        return address_of(self._block, number, FIRST_VIEW + viewer)

    def pairs(self):
        return [(a, b) for a in range(self._count)
                for b in range(self._count) if a != b]

    async def start(self):
        loop = asyncio.get_running_loop()
        for viewer, number in self.pairs():
            where = self.seen_by(viewer, number)
            _, self._ears[viewer, number] = await loop.create_datagram_endpoint(
                lambda n=number: _Ear(self, n),
                local_addr=(where, self._peer_port))
            server = wire.Server(
                lambda r, w, i=viewer, j=number: self._serve(i, j, r, w))
            await server.start(where, self._query_port)
            self._servers.append(server)

    async def stop(self):
        for ear in self._ears.values():
            ear.transport.close()
        for server in self._servers:
            await server.stop()

    def reset_connections(self):
        for server in self._servers:
            server.reset_connections()

    def _rewrite(self, data, viewer):
        return self._known.sub(
            rb"127.%d.%d.\1:\2" % (FIRST_VIEW + viewer, self._block), data)

    def carry(self, sender, to, data):
        way = (sender, to)
        if way in self.cut or self._random.random() < self.loss.get(way, 0):
            return
        late = self.late_s.get(way, 0)
        if late:
            # Each by itself, so that they overtake each other.
            asyncio.get_running_loop().call_later(
                self._random.uniform(0, late), self.deliver, sender, to, data)
        else:
            self.deliver(sender, to, data)

    def deliver(self, sender, to, data):
        ear = self._ears.get((to, sender))
        if ear and not ear.transport.is_closing():
            ear.transport.sendto(
                self._rewrite(data, to)[:MAX_DATAGRAM],
                (address_of(self._block, to), self._peer_port))

    async def _serve(self, viewer, number, reader, writer):
        far = await asyncio.open_connection(
            address_of(self._block, number), self._query_port)
        try:
            while True:
                await self._pass_on((viewer, number), reader, far[1], False)
                await self._pass_on((number, viewer), far[0], writer, True)
        finally:
            far[1].close()

    async def _pass_on(self, way, reader, writer, answer):
        message = await wire.read_message(reader, answer)
        if self.refuse:
            raise wire.Broken("refused")
        if way in self.cut:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.late_s.get(way, 0))
        headers = [h for h in message.headers if h[0].lower() not in
                   ("content-length", "transfer-encoding")]
        writer.write(wire.format_message(
            message.start, headers, self._rewrite(message.body, way[1])))
        await writer.drain()
