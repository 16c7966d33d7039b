"""Clients that don't behave: many connections that each send some bytes and
then stay open, without reading, or reading very little."""

import asyncio
import socket

CONNECT_S = 5.0
SEND_S = 3.0  # of the crowd, before anything is checked
AGAIN = 1  # times that a member comes back whose connection was closed
UNREAD_BUFFER = 4096  # bytes that its kernel takes for one that reads nothing
END = None


class Crowd:
    """`pieces` makes what one member sends; with `pause_s` it waits between
    two pieces, and behind the piece `END` it closes its sending side. With
    `reads` it reads a byte now and then."""

    def __init__(self, address, count, pieces, pause_s=0.0, reads=False):
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        self._count = count
        self._pieces = pieces
        self._pause_s = pause_s
        self._reads = reads
        self._open = set()
        self._tasks = []

    async def __aenter__(self):
        """Comes back after a while; those that have not sent all go on."""
        self._tasks = [asyncio.create_task(self._play())
                       for _ in range(self._count)]
        await asyncio.sleep(SEND_S)
        return self

    async def __aexit__(self, *_):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in self._open:
            each.close()

    async def _connect(self):
        made = socket.socket()
        made.setblocking(False)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                made, self._address), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            made.close()
            return None
        self._open.add(made)
        return made

    async def _play(self):
        for _ in range(1 + AGAIN):
            made = await self._connect()
            if made is None:
                continue
            if self._reads:
                self._tasks.append(asyncio.create_task(self._read(made)))
            try:
                await self._send(made)
                return
            except OSError:
                pass  # it was closed, which is allowed

    async def _send(self, made):
        loop = asyncio.get_running_loop()
        for piece in self._pieces():
            if piece is END:
                made.shutdown(socket.SHUT_WR)
                return
            await loop.sock_sendall(made, piece)
            await asyncio.sleep(self._pause_s)

    async def _read(self, made):
        try:
            while await asyncio.get_running_loop().sock_recv(made, 1):
                await asyncio.sleep(0.1)
        except OSError:
            pass
