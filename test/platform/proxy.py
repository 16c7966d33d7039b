"""A TCP proxy on the loopback that delays, silences, cuts and resets."""

import asyncio
import os
import socket
import struct
import time

import wire

# Of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
ANY_STATE = 0xffffffff
NO_DEVICE_NOR_COOKIE = bytes(4) + b"\xff" * 8
INODE_AT = 84


def inode_of(near, far):
    """Inode of the loopback socket between two ports, asked of the kernel:
    its table in /proc takes long to read where many connections were."""
    loopback = socket.inet_aton("127.0.0.1")
    ends = struct.pack("!HH16s16s", near, far, loopback, loopback)
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                          ANY_STATE) + ends + NO_DEVICE_NOR_COOKIE
    header = struct.pack("=IHHII", 16 + len(request), SOCK_DIAG_BY_FAMILY,
                         NLM_F_REQUEST, 0, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW,
                       NETLINK_SOCK_DIAG) as kernel:
        kernel.send(header + request)
        answer = kernel.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_AT)[0]


def owner_of(near, far):
    """The process that connected from one port of the loopback to the other;
    nothing for one that is gone."""
    wanted = f"socket:[{inode_of(near, far)}]"
    for process in watched:
        if wanted in open_files(process):
            return process
    return None


def open_files(process):
    """What the descriptors of a process name; none of one that has ended. One
    that is closed meanwhile must not hide the others."""
    try:
        links = list(os.scandir(f"/proc/{process}/fd"))
    except OSError:
        return set()
    found = set()
    for each in links:
        try:
            found.add(os.readlink(each.path))
        except OSError:
            continue
    return found


watched = set()  # ids of processes that `cut` may name


class Proxy:
    """Faults: `delay_s` for each piece; `silent` swallows bytes both ways;
    `deaf` only those towards the server; `refuse` ends new connections;
    `status` answers requests on new connections with it, in HTTP. `cut` holds
    process ids: what these send is swallowed, and with `cut_resets` their new
    connections are reset instead, while open ones live on."""

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

    async def start_again(self):
        """At the address that it had."""
        ip, _, port = self.address.rpartition(":")
        await self._server.start(ip, int(port))

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
        self.cut = set()
        self.cut_resets = False
        self._owners = {}  # process of each port

    async def _serve(self, reader, writer):
        near = writer.get_extra_info("peername")[1]
        if self.refuse or (self.cut_resets and self._is_cut(near)):
            wire.close(writer, reset=True)
            return
        while self.status:
            await wire.read_message(reader)
            writer.write(wire.format_message(f"HTTP/1.1 {self.status} No", []))
        ip, _, port = self._to.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        ways = [asyncio.create_task(
                    self._copy(reader, far_writer, True, near)),
                asyncio.create_task(
                    self._copy(far_reader, writer, False, near))]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._owners.pop(near, None)
            for way in ways:
                way.cancel()
            far_writer.close()

    def _is_cut(self, port):
        if not self.cut:
            return False
        # Looking it up takes milliseconds.
        if port not in self._owners:
            self._owners[port] = owner_of(port, int(self.address.rpartition(":")[2]))
        return self._owners[port] in self.cut

    async def _copy(self, reader, writer, forward, near):
        while data := await reader.read(65536):
            self.used_at = time.monotonic()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            is_cut = not self.cut_resets and self._is_cut(near)
            if self.silent or is_cut or (self.deaf and forward):
                # What was swallowed is lost for good: so is the connection.
                await asyncio.sleep(3600)
            writer.write(data)
            await writer.drain()
