"""HTTP/1.1 on asyncio streams, as little as the stand-ins need.

Written by hand because the stand-ins have to send what a library would not:
answers without a length, broken off, twice, or with another request's id.
"""

import asyncio
from dataclasses import dataclass, field

MAX_LINE = 64 * 1024


class Broken(Exception):
    """The peer broke off or sent what is no HTTP message."""


@dataclass
class Message:
    start: str
    headers: list = field(default_factory=list)
    body: bytes = b""
    whole: bool = True

    def header(self, name, fallback=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return fallback

    @property
    def method(self):
        return self.start.split(" ")[0]

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def _line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise Broken("ended within a line" if line else "ended")
    return line.decode("latin-1").rstrip("\r\n")


async def _chunks(reader):
    body = b""
    while True:
        size = int((await _line(reader)).split(";")[0], 16)
        if size == 0:
            await _line(reader)
            return body
        body += await reader.readexactly(size)
        await _line(reader)


async def read_message(reader, answer=False):
    """The next message; Broken when there is none."""
    try:
        message = Message(await _line(reader))
        while line := await _line(reader):
            name, _, value = line.partition(":")
            message.headers.append((name.strip(), value.strip()))
        if (message.header("Transfer-Encoding") or "").lower() == "chunked":
            message.body = await _chunks(reader)
        elif (length := message.header("Content-Length")) is not None:
            message.body = await reader.readexactly(int(length))
        elif answer and message.status >= 200 and message.status != 204:
            message.body = await reader.read()
        return message
    except (asyncio.IncompleteReadError, ConnectionError, ValueError,
            OSError) as failure:
        raise Broken(str(failure)) from failure


def format_message(start, headers, body=b"", length=True):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def close(writer, reset=False):
    """Ends a connection, in order or with a reset."""
    if reset:
        writer.transport.abort()
    else:
        writer.close()


class Server:
    """Accepts connections at one address and can be taken down."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.address = None

    async def start(self, ip, port=0):
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_LINE, reuse_address=True)
        host, bound = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._handle(reader, writer)
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def reset_connections(self, share=1.0, random=None):
        for writer in list(self._writers):
            if random is None or random.random() < share:
                close(writer, reset=True)

    async def stop(self):
        if self._server:
            self._server.close()
            self._server = None
        self.reset_connections()
