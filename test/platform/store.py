"""Stand-in of the users' store of rows, with its faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

MAX_ROWS = 500
READ_ONLY = ("op", "servers")


class Store:
    """Rows with one revision over all tables; a feed with a short memory.

    Faults: `mode` is ok, silent, busy, many or reset; `lose` is the share of
    answers that are lost after the call took effect; `delay_s` slows answers.
    """

    def __init__(self, random):
        self._random = random
        self._server = wire.Server(self._serve)
        self._rows = {}
        self._log = []
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self.revision = 0
        self.mode = "ok"
        self.lose = 0.0
        self.delay_s = 0.0
        self.calls = 0

    @property
    def address(self):
        return self._server.address

    async def start(self, ip):
        await self._server.start(ip)

    async def stop(self):
        await self._server.stop()

    def reset_connections(self):
        self._server.reset_connections()

    async def put(self, table, key, value):
        """A write by the operator or a target; returns when it is done."""
        await self._apply([(table, "", key, value)])

    async def remove(self, table, key):
        if (table, "", key) in self._rows:
            await self._apply([(table, "", key, None)])

    def has(self, table, key):
        return (table, "", key) in self._rows

    async def forget_history(self):
        """Drops the history and cuts those who wait for changes."""
        self._log.clear()
        self._forgotten = self.revision
        self.reset_connections()

    async def _apply(self, changes):
        self.revision += 1
        for table, part, key, value in changes:
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[(table, part, key)] = (value, self.revision)
            self._log.append((self.revision, table, part, key, value))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        while True:
            request = await wire.read_message(reader)
            self.calls += 1
            if self.mode == "silent":
                await asyncio.sleep(3600)
            if self.mode == "reset":
                wire.close(writer, reset=True)
                return
            if self.mode in ("busy", "many"):
                status = 503 if self.mode == "busy" else 429
                writer.write(wire.format_message(f"HTTP/1.1 {status} No", []))
                continue
            status, answer = await self._answer(request)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if self._random.random() < self.lose or self.mode == "silent":
                # Nothing more is delivered on this connection.
                await asyncio.sleep(3600)
            body = json.dumps(answer).encode()
            writer.write(wire.format_message(
                f"HTTP/1.1 {status} X",
                [("Content-Type", "application/json")], body))
            await writer.drain()

    async def _answer(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-get":
            return 200, self._get(query)
        if url.path == "/rows-feed":
            return await self._feed(query)
        if url.path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        return 404, {"error": "no such call"}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first = query.get("fromRev", "")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        found = sorted((key, row) for (t, p, key), row in self._rows.items()
                       if (t, p) == (table, part) and key >= first)
        rows = [self._row(table, part, key, *row) for key, row in found[:limit]]
        return {"rows": rows, "hasMore": len(found) > limit,
                "revision": self.revision, "now": self._now()}

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self._forgotten:
                return 410, {"error": "history lost"}
            changes = [c for c in self._log
                       if c[0] > after and c[1] == query["table"]]
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = [self._row(t, p, key, value, revision)
                for revision, t, p, key, value in changes]
        return 200, {"rows": rows, "revision": self.revision,
                     "now": self._now()}

    async def _transact(self, entries):
        current = []
        for row in entries.get("expect", []):
            where = (row["table"], row.get("part", ""), row["key"])
            stored = self._rows.get(where, (None, 0))
            if stored[1] != row["revision"]:
                current.append(self._row(*where, *stored))
        if current:
            return 412, {"rows": current, "revision": self.revision}
        changes = [(r["table"], r.get("part", ""), r["key"], r["value"])
                   for r in entries.get("writes", [])]
        changes += [(r["table"], r.get("part", ""), r["key"], None)
                    for r in entries.get("remove", [])]
        if any(change[0] in READ_ONLY for change in changes):
            return 403, {"error": "not yours"}
        await self._apply([(t, p, k, None if v is None else
                            base64.b64decode(v).decode())
                           for t, p, k, v in changes])
        return 200, {"revision": self.revision, "now": self._now()}

    @staticmethod
    def _row(table, part, key, value, revision):
        row = {"table": table, "part": part, "key": key, "revision": revision}
        if value is None:
            row["deleted"] = True
        elif isinstance(value, dict):
            row.update(value)  # as it is, however wrong
        else:
            raw = value if isinstance(value, bytes) else value.encode()
            row["value"] = base64.b64encode(raw).decode()
        return row

    @staticmethod
    def _now():
        return f"{int(time.monotonic() * 1000)}ms"
