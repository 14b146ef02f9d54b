"""Callers that keep connections open, and the promises that they check."""

import asyncio
import random
import time

from stand_ins import Target


class Callers:
    """Sends requests of three kinds and judges each answer when it ends."""

    PATIENCE_S = 3.0

    def __init__(self, nodes, ledger, seed, key, operator):
        self.nodes, self.ledger, self.key, self.operator = nodes, ledger, key, operator
        self.ports = [node.port for node in nodes]
        self.seed = seed
        self.running = True
        self.random = random.Random(seed)
        self.broken = []  # promises that were broken, with the attempt
        self.refused = []  # attempts that were told "not run"
        self.unserved = []  # requests that a node failed itself, or whose connection ended before their answer (status 0)
        self.counts = {}
        self.last_success = {}

    def fail(self, attempt, promise):
        self.broken.append(f"{promise}: {attempt}")

    async def run_one(self, caller, probes=False):
        connection = None
        number = 0
        kept = False
        while self.running:
            kind = self.operator.name_to_probe() if probes else self.random.choice(["safe", "once", "stream"])
            attempt = f"{self.seed}-{caller}-{number}"
            number += 1
            try:
                kept = connection is not None
                if connection is None:
                    node = self.random.randrange(len(self.ports))
                    connection = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ports[node]), 1)
                alive = await self._exchange_watched(connection, node, kind, attempt, kept)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self._count(kind, "no answer")
                alive = False
            if not alive and connection is not None:
                connection[1].close()
                connection = None
            await asyncio.sleep(0.02 + 0.08 * self.random.random())
        if connection is not None:
            connection[1].close()

    async def run_late(self, node, attempt, stopped, delay):
        """Opens a connection before a planned stop and uses it some time after the signal, again until it ends."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.ports[node]), 1)
            kind = self.random.choice(["safe", "once", "stream"])
            alive = await self._exchange_watched((reader, writer), node, kind, attempt, False)
            await stopped.wait()
            await asyncio.sleep(delay)
            number = 0
            while alive and not reader.at_eof():
                number += 1
                alive = await self._exchange_watched((reader, writer), node, kind, f"{attempt}-{number}", True)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self._count("late", "no answer")
        if writer is not None:
            writer.close()

    async def _exchange_watched(self, connection, node, kind, attempt, kept):
        """Notes when the connection ends without a complete answer, as seen from here."""
        sent = time.monotonic()
        try:
            return await asyncio.wait_for(self._exchange(connection, node, kind, attempt), self.PATIENCE_S)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.unserved.append((attempt, node, kept, 0, sent, time.monotonic()))
            raise

    async def run_crashing(self, kind):
        """Sends one request that crashes its targets again and again, to any node, as a new attempt each time."""
        number = 0
        while self.running:
            attempt = f"{self.seed}-crash-{kind}-{number}"
            number += 1
            status, _ = await self.ask(self.random.choice(self.nodes), f"{kind}/crash", self.key, attempt, "crash")
            self._count(f"crashing {kind}", status or "no answer")
            if status == 503 and attempt in self.ledger.runs:
                self.fail(attempt, "a request was refused as not run, but it ran")
            await asyncio.sleep(0.1 + 0.3 * self.random.random())

    def _count(self, kind, outcome):
        kind = kind if kind in ("late", "safe", "once", "stream") or kind.startswith("crashing") else "probe"
        self.counts[(kind, outcome)] = self.counts.get((kind, outcome), 0) + 1

    async def ask(self, node, path, key, attempt, body=""):
        """Sends a call on its own connection; returns the status, 0 without an answer, and the service that ran it."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.port), 1)
            writer.write(f"{'POST' if body else 'GET'} /{path} HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: {attempt}\r\n"
                         f"X-Via: {node.index}\r\nX-Api-Key: {key}\r\nToken-Counts: 100,50\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), self.PATIENCE_S)).decode("latin-1")
            writer.close()
            stamp = head.partition("Server-Stamp: ")[2].partition(".")[0]
            return int(head.split(" ", 2)[1]), self.ledger.services.get(stamp)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, None

    async def _exchange(self, connection, node, kind, attempt):
        reader, writer = connection
        method = "POST" if kind == "once" else "GET"
        body = attempt if kind == "once" else ""
        sent = time.monotonic()
        incarnation = self.nodes[node].starts
        path, key = ("safe", kind[4:]) if kind.startswith("key ") else (kind, self.key)
        writer.write(f"{method} /{path}/{attempt} HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: {attempt}\r\n"
                     f"X-Via: {node}\r\nX-Api-Key: {key}\r\nDeadline-Ms: 3000\r\nToken-Counts: 100,50\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        fields = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip()
                  for line in head.split("\r\n")[1:] if ":" in line}
        if fields.get("transfer-encoding") == "chunked":
            text = await self._read_chunks(reader)
            if kind == "stream":
                self._judge_stream(kind, attempt, text)
            else:
                self._judge_whole(kind, attempt, status, fields, text)
        else:
            length = fields.get("content-length")
            answer = await (reader.read() if length is None else reader.readexactly(int(length)))
            self._judge_whole(kind, attempt, status, fields, answer.decode())
            service = self.ledger.services.get(fields.get("server-stamp", "").partition(".")[0])
            shown = {200: [(f"key {key}", "taken")] + [(kind, service)] * (kind in self.operator.added),
                     401: [(f"key {key}", None)], 404: [(kind, None)]}
            self.operator.seen += [(time.monotonic(), sent, node, incarnation, name, outcome, attempt)
                                   for name, outcome in shown.get(status, [])]
            if status >= 500 and status != 503 and "server-stamp" not in fields:
                self.unserved.append((attempt, node, True, status, sent, time.monotonic()))
            if length is None:
                return False
        return fields.get("connection") != "close"

    def _judge_whole(self, kind, attempt, status, fields, answer):
        self._count(kind, status)
        if status == 200:
            self.last_success[kind] = time.monotonic()
            if answer != f"answer to {attempt}" or not fields.get("server-stamp", "").endswith("." + attempt):
                self.fail(attempt, "a success is not the whole answer to this request")
        if status in (429, 503):
            self.refused.append(attempt)
        # A node that started after the store lost changes may not know the newest key; the operator judges that.
        judged_later = {401: kind.startswith("key ") or self.operator.store.era > 1, 404: kind in self.operator.added}
        if status in (401, 403, 404) and not judged_later.get(status):
            self.fail(attempt, "a proper request was denied")

    async def _read_chunks(self, reader):
        text = ""
        while True:
            size = int((await reader.readuntil(b"\r\n")).decode(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return text
            text += data[:-2].decode()

    def _judge_stream(self, kind, attempt, text):
        expected = "".join(f"id: {event}\ndata: {attempt} {event}\n\n" for event in range(1, Target.EVENTS + 1))
        self._count(kind, 200)
        self.last_success[kind] = time.monotonic()
        if text != expected:
            self.fail(attempt, "a stream that looks complete lacks, repeats or mixes events")

    def judge_runs(self):
        """Checks the targets' ledger against what callers were told."""
        for attempt, runs in self.ledger.runs.items():
            target, body = runs[0]
            if target.startswith("/once/"):
                if len(runs) > 1:
                    self.fail(attempt, "a request that runs once ran again")
                if body.decode() != ("crash" if target.endswith("/crash") else attempt):
                    self.fail(attempt, "a body was changed")
        for attempt in self.refused:
            runs = self.ledger.runs.get(attempt, [])
            if runs and runs[0][0].startswith("/once/"):
                self.fail(attempt, "a request was refused as not run, but it ran")
