"""Stand-in of the users' store of rows, with its faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

MAX_ROWS = 500
MAX_ANSWER_BYTES = 1_000_000
READ_ONLY = ("op", "servers")
NO_ANSWERS = (b"[]", b"null", b"", b"{", b'{"rows":{},"revision":"x"}',
              b'{"rows":[7],"revision":-1}', b'{"rows":[],"revision":1e400}',
              b'{"rows":[{"key":"\xc1"}]}', b"<html>", b"[" * 30000)
NO_ROWS = ({}, {"key": 5}, {"key": "i-x", "revision": "7", "value": ""},
           {"key": "i-x", "revision": None, "value": ""}, None, [],
           {"key": "i-x", "value": "e30="}, {"revision": 1, "value": "e30="},
           {"key": "i-x", "revision": 1, "deleted": 7})
GARBLES = ("cut", "half", "noise", "no_json", "other", "length", "headers")


class Store:
    """Rows with one revision over all tables; a feed with a short memory.

    Faults: `mode` is ok, silent, busy, many or reset; `lose` is the share of
    answers that are lost after the call took effect, `garble` of those that
    are broken, `alien` of those with a row that is none, `no_base64` of those
    with a value that is no base64; `delay_s` slows answers, and `jitter_s`
    each by another time; `page` is the most rows of an answer.
    """

    def __init__(self, random):
        self._random = random
        self._server = wire.Server(self._serve)
        self._rows = {}
        self._log = []
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self.revision = 0
        self.epoch = 0  # restores from an older copy
        self._written = []  # (time, revision, where, row before)
        self.mode = "ok"
        self.lose = self.garble = self.alien = self.no_base64 = 0.0
        self.delay_s = self.jitter_s = 0.0
        self.page = MAX_ROWS
        self.calls = 0
        self.on_change = None  # called with table, key and value

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

    async def forget_history(self, reset=True):
        """Drops the history, and cuts or tells those who wait for changes."""
        self._log.clear()
        self._forgotten = self.revision
        if reset:
            self.reset_connections()
        await self._tell_waiting()

    async def restore(self, age_s):
        """Goes back to a copy of that age, and gives out its revisions again.
        Returns what was written to it since, for `write_again`."""
        since = time.monotonic() - age_s
        lost = {}
        while self._written and self._written[-1][0] > since:
            _, revision, where, before = self._written.pop()
            lost.setdefault(where, self._rows.get(where))
            if before:
                self._rows[where] = before
            else:
                self._rows.pop(where, None)
            self.revision = revision - 1
        self.epoch += 1
        self._log = [c for c in self._log if c[0] <= self.revision]
        self._forgotten = min(self._forgotten, self.revision)
        self.reset_connections()
        await self._tell_waiting()
        return {where: (row, self._rows.get(where))
                for where, row in lost.items() if where[0] in READ_ONLY}

    async def write_again(self, lost):
        """The operator and the targets write what was lost, unless they have
        written something newer."""
        for where, (row, restored) in lost.items():
            if self._rows.get(where) == restored:
                await self._apply([(*where, row and row[0])])

    async def _apply(self, changes):
        self.revision += 1
        for table, part, key, value in changes:
            where = (table, part, key)
            self._written.append(
                (time.monotonic(), self.revision, where, self._rows.get(where)))
            if value is None:
                self._rows.pop((table, part, key), None)
            else:
                self._rows[(table, part, key)] = (value, self.revision)
            self._log.append((self.revision, table, part, key, value))
            if self.on_change:
                self.on_change(table, key, value)
        await self._tell_waiting()

    async def _tell_waiting(self):
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
                writer.write(wire.format_message(
                    f"HTTP/1.1 {status} No", [self._epoch_header()]))
                continue
            status, answer = await self._answer(request)
            if late := self.delay_s + self._random.uniform(0, self.jitter_s):
                await asyncio.sleep(late)
            if self._has_fault(self.lose) or self.mode == "silent":
                # Nothing more is delivered on this connection.
                await asyncio.sleep(3600)
            self._spoil_rows(answer)
            body = json.dumps(answer).encode()
            if self._has_fault(self.garble):
                await self._garble(writer, status, body)
                return
            writer.write(self._format(status, body))
            await writer.drain()

    def _has_fault(self, share):
        return self._random.random() < share

    def _epoch_header(self):
        return "Store-Era", self.epoch

    def _format(self, status, body, *headers):
        return wire.format_message(
            f"HTTP/1.1 {status} X",
            [("Content-Type", "application/json"), self._epoch_header(),
             *headers], body)

    def _spoil_rows(self, answer):
        rows = answer.get("rows", [])
        if rows and self._has_fault(self.alien):
            rows.insert(self._random.randrange(len(rows) + 1),
                        self._random.choice(NO_ROWS))
        # Behind a page, a key that is not in order would hide others.
        is_feed = "rows" in answer and "hasMore" not in answer
        if is_feed and self._has_fault(self.no_base64):
            rows.append({"table": "servers", "part": "", "key": "i-no-base64",
                         "revision": answer["revision"], "value": "!\xff="})

    async def _garble(self, writer, status, body):
        """An answer that is none; the connection is of no use after it."""
        whole = self._format(status, body)
        kind = self._random.choice(GARBLES)
        if kind in ("cut", "half"):
            whole = whole[:self._random.randrange(1, len(whole))]
        elif kind == "noise":
            whole = b"\x00\xff no HTTP\r\n\r\n" + whole
        elif kind == "no_json":
            whole = self._format(status, body[:-1 - len(body) // 3])
        elif kind == "other":
            whole = self._format(status, self._random.choice(NO_ANSWERS))
        elif kind == "length":
            whole = whole.replace(b"Content-Length: ", b"Content-Length: 9")
        else:
            whole = self._format(status, body, ("\x00\xff", "\xc1"),
                                 ("Content-Length", len(body) + 7))
        writer.write(whole)
        await writer.drain()
        if kind == "half":
            await asyncio.sleep(3600)

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
        limit = min(int(query.get("limit", MAX_ROWS)), self.page)
        found = sorted(((key, row) for (t, p, key), row in self._rows.items()
                        if (t, p) == (table, part) and key >= first),
                       key=lambda each: each[0].encode())
        rows = []
        size = 0
        for key, row in found[:limit]:
            rows.append(self._row(table, part, key, *row))
            size += len(str(rows[-1].get("value", "")))
            if size > MAX_ANSWER_BYTES:
                rows.pop()
                break
        return {"rows": rows, "hasMore": len(found) > len(rows),
                "revision": self.revision, "now": self._now()}

    async def _feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self._forgotten or after > self.revision:
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
                            base64.b64decode(v)) for t, p, k, v in changes])
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
