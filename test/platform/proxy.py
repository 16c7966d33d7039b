"""A TCP proxy on the loopback that delays, silences, cuts and resets."""

import asyncio
import time

import wire


class Proxy:
    """Faults: `delay_s` for each piece; `silent` swallows bytes both ways;
    `deaf` only those towards the server; `refuse` ends new connections;
    `status` answers requests on new connections with it, in HTTP."""

    def __init__(self):
        self._server = wire.Server(self._serve)
        self._to = None
        self.used_at = 0.0
        self.heal()

    @property
    def address(self):
        return self._server.address

    async def start(self, to):
        self._to = to
        await self._server.start("127.0.0.1")

    async def stop(self):
        await self._server.stop()

    def lead_to(self, address):
        self._to = address

    def reset_connections(self):
        self._server.reset_connections()

    def heal(self):
        self.delay_s = 0.0
        self.silent = self.deaf = self.refuse = False
        self.status = 0

    async def _serve(self, reader, writer):
        if self.refuse:
            wire.close(writer, reset=True)
            return
        while self.status:
            await wire.read_message(reader)
            writer.write(wire.format_message(f"HTTP/1.1 {self.status} No", []))
        ip, _, port = self._to.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        ways = [asyncio.create_task(self._copy(reader, far_writer, True)),
                asyncio.create_task(self._copy(far_reader, writer, False))]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            far_writer.close()

    async def _copy(self, reader, writer, forward):
        while data := await reader.read(65536):
            self.used_at = time.monotonic()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self.silent or (self.deaf and forward):
                # What was swallowed is lost for good: so is the connection.
                await asyncio.sleep(3600)
            writer.write(data)
            await writer.drain()
