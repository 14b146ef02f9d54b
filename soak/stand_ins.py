"""Stand-ins for the platform's store, model engines and a plain service, as far as the soak needs them."""

import asyncio
import base64
import json
import random
import time

from proxy import reset

LEAVING_S = 4.5  # the default of leaving_bound_ms, and half a second on the way
PAUSE_CROSSINGS = 2  # by the platform's rules
BABBLE_S = 8.0  # longer than any caller waits
SILENCE_S = (0.8, 1.6)  # of a sound target in the middle of an answer


async def read_request(reader):
    """Reads one HTTP request; returns (method, target, headers, body) or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def whole(status, body, headers=""):
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


class Server:
    """A listener whose connections can all be cut, as by a crash."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.port = 0

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.answer(writer, *request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


class Store(Server):
    """Tables with a change feed. Faults: mode "down" (503), "silent" (no answer), "lost" (writes done, not answered)."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, key) -> (value, revision, removed)
        self.revision = 0
        self.oldest = 0  # changes up to it are forgotten
        self.mode = ""
        self.away = False
        self.era = 1
        self.changes = []  # (when, slot, the row before or None, revision and oldest before)
        self.disturbances = []
        self.changed = asyncio.Event()

    def disturb(self):
        self.disturbances.append(time.monotonic())

    def was_disturbed(self, begin, end):
        return any(begin <= when <= end for when in self.disturbances)

    def put(self, table, key, document):
        self._change((table, key), base64.b64encode(json.dumps(document).encode()).decode(), False)

    def remove(self, table, key):
        self._change((table, key), "", True)

    def _change(self, slot, value, removed):
        self.changes.append((time.monotonic(), slot, self.rows.get(slot), self.revision, self.oldest))
        self.revision += 1
        self.rows[slot] = (value, self.revision, removed)
        self._wake()

    def forget_history(self):
        self.oldest = self.revision

    def go_away(self):
        """Nobody reaches the store, writers of its own tables included, until it is restored."""
        self.away = True
        self.disturb()
        for writer in list(self.writers):
            reset(writer)

    def restore(self, age):
        """Comes back as it was some seconds ago; returns since when changes are lost."""
        since = time.monotonic() - age
        while self.changes and self.changes[-1][0] > since:
            _, slot, row, self.revision, self.oldest = self.changes.pop()
            if row is None:
                del self.rows[slot]
            else:
                self.rows[slot] = row
        self.era += 1
        self.away = False
        self.disturb()
        self._wake()
        return since

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _clock():
        return int(time.monotonic() * 1000)

    def _answer_rows(self, table, after):
        rows = [
            {"table": table, "part": "", "key": key, "value": value, "rowVersion": revision, "tombstone": removed}
            for (own, key), (value, revision, removed) in sorted(self.rows.items())
            if own == table and revision > after and (after or not removed)
        ]
        return rows, json.dumps({"rows": rows, "morePages": False, "rowVersion": self.revision, "nowMs": self._clock()}).encode()

    async def answer(self, writer, method, target, headers, body):
        if self.away:
            reset(writer)
            return False
        if self.mode == "silent":
            return True
        if self.mode == "down":
            return self._reply(writer, 503, b"{}")
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if path == "/v1/rows-get":
            return self._reply(writer, 200, self._answer_rows(fields["table"], 0)[1])
        if path == "/v1/rows-feed":
            after = int(fields["afterRev"])
            if not self.oldest <= after <= self.revision:
                return self._reply(writer, 410, b"{}")
            end = time.monotonic() + min(int(fields["waitMs"]), 30000) / 1000
            era = self.era
            rows, page = self._answer_rows(fields["table"], after)
            while not rows and time.monotonic() < end:
                try:
                    await asyncio.wait_for(asyncio.shield(self.changed.wait()), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
                if era != self.era:
                    return False
                rows, page = self._answer_rows(fields["table"], after)
            return self._reply(writer, 200, page)
        if path == "/v1/rows-tx":
            request = json.loads(body)
            for row in request["expectedRev"]:
                _, revision, removed = self.rows.get((row["table"], row["key"]), (None, 0, False))
                if row["rowVersion"] != (0 if removed else revision):
                    return self._reply(writer, 412, b"{}")
            for row in request["writes"]:
                self._change((row["table"], row["key"]), row["value"], False)
            for row in request["remove"]:
                self.remove(row["table"], row["key"])
            if self.mode == "lost":
                return False
            return self._reply(writer, 200, json.dumps({"rowVersion": self.revision, "nowMs": self._clock()}).encode())
        return self._reply(writer, 404, b"{}")

    def _reply(self, writer, status, body):
        writer.write(whole(status, body, f"Store-Era: {self.era}\r\n"))
        return True


class Target(Server):
    """A plain service or an engine. What it runs is recorded in the ledger that all targets share."""

    EVENTS = 12
    EVENT_PAUSE_S = 0.03

    def __init__(self, name, service, zone, ledger, is_engine):
        super().__init__()
        self.name, self.service, self.zone, self.ledger, self.is_engine = name, service, zone, ledger, is_engine
        ledger.services[name] = service
        self.seq = 0  # of its renewals
        self.draining = False  # what the store says of it
        self.drained = None  # when the store was told so
        self.ended = False  # crashed
        self.left = False  # and its row was removed
        self.born = int(time.time() * 1000)
        self.on_crash = None  # called with this target and the request's headers when a request crashes it
        self.fault = ""  # "cut", "mute", "extra", "refuse", "error", "babble", "trickle", "silence", "stop"
        self.harms = []  # when it crashed or its links were harmed
        self.leaving = False  # says so in its answers; the store does not know
        self.told = {}  # node -> when it was first told that this target leaves
        self.paused_until = 0.0
        self.asked_to_pause = {}  # node -> when it was first asked
        self.in_pause = {}  # node -> requests half a second later and until the pause ends
        self.ignored = []  # what nodes did against leaving, pauses and endless answers
        self.random = random.Random(name)
        self.limits = [(0.0, None, "")]  # when, the limit in force, and the text in answers
        self.limit_named_to = {}  # node -> when it first got an answer with the limit in force
        self.limited_arrivals = []  # (when, node) of requests from nodes that knew the limit for half a second

    def name_limit(self, text, limit):
        """Names a limit from now on; None ends it. An unreadable text leaves the limit before it in force."""
        now = time.monotonic()
        if self.limits[-1][1] is None:
            self.limit_named_to = {}
        self.limits.append((now, limit, text))

    def _limit_field(self, node):
        limit, text = self.limits[-1][1:]
        if text and limit is not None:
            self.limit_named_to.setdefault(node, time.monotonic())
        return f"Server-Limit: {text}\r\n" if text else ""

    def _count_at_limit(self, node):
        now = time.monotonic()
        if self.limits[-1][1] is not None and self.limit_named_to.get(node, now) <= now - 0.5:
            self.limited_arrivals.append((now, node))

    def entry(self, address):
        self.seq += 1
        return {"service": self.service, "address": address, "zone": self.zone, "version": "v1", "slots": 16,
                "state": "draining" if self.draining else "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born}

    async def answer(self, writer, method, target, headers, body):
        if target == "/v1/report":
            writer.write(whole(200, json.dumps({"queued": 0, "active": 0, "born": self.born, "runs": []}).encode()))
            return True
        if target == "/healthz":
            writer.write(whole(200, b"", f"Instance: {self.name}\r\n"))
            return True
        attempt = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n"
        if headers.get("expect-instance", self.name) != self.name:
            self.ledger.foreign += not attempt.startswith(f"{self.ledger.seed}-")
            writer.write(whole(421, b"", echo + f"Instance: {self.name}\r\n"))
            return True
        if target.startswith("/v1/") or "kv-from" in headers:
            writer.write(whole(503, b"", echo + "Not-Executed: 1\r\n"))  # no copies here: streams are read anew
            return True
        node = headers.get("x-via", "")
        self._count_at_limit(node)
        echo += self._limit_field(node)
        if self.fault == "refuse":
            writer.write(whole(503, b"", echo + "Not-Executed: 1\r\n"))
            return True
        if self._refuse_in_pause(writer, node, echo):
            return True
        if self.drained is not None and time.monotonic() > self.drained + LEAVING_S:
            self.ignored.append((node, self.drained, f"{self.name} got {attempt} after the store showed it as draining",
                                 time.monotonic()))
        if self.leaving:
            now = time.monotonic()
            if now > self.told.setdefault(node, now) + LEAVING_S:
                self.ignored.append((node, self.told[node], f"{self.name} got {attempt} after it had said that it leaves"))
            echo += "Server-Leaving: 1\r\n"
        self.ledger.ran(attempt, target, body, self)
        if target.endswith("/crash"):
            await asyncio.sleep(0.05 * self.random.random())
            self.ledger.broken_off.add(attempt)
            self.on_crash(self, target, headers)
            return False
        stamp = f"Server-Stamp: {self.name}.{attempt}\r\n"
        if target.startswith("/stream/"):
            return await self._stream(writer, headers, attempt, echo + stamp)
        await asyncio.sleep(0.005 + 0.02 * self.random.random())
        fault = self.fault if self.random.random() < 0.3 else ""
        answer = whole(500 if fault == "error" else 200, f"answer to {attempt}".encode(), echo + stamp)
        if fault == "silence":
            return await self._fall_silent(writer, answer, self.random.randrange(1, len(answer)))
        if fault == "stop":
            return await self._stop_inside(writer, attempt, echo + stamp)
        if fault in ("cut", "mute", "extra", "babble"):
            self.ledger.broken_off.add(attempt)
        if fault == "cut":
            writer.write(answer[:-3])
            return False
        if fault == "mute":
            return True
        if fault == "babble":
            return await self._babble(writer, f"HTTP/1.1 200 X\r\n{echo}{stamp}\r\n".encode(), b"x" * 65536, 0)
        writer.write(answer)
        if fault == "extra":
            writer.write(answer)
        return True

    async def _stream(self, writer, headers, attempt, fields):
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n".encode())
        first = int(headers.get("last-event-id", "0")) + 1
        silent_at = self.random.randint(first, self.EVENTS) if first <= self.EVENTS and self.fault == "silence" else 0
        for event in range(first, self.EVENTS + 1):
            await asyncio.sleep(self.EVENT_PAUSE_S)
            piece = f"id: {event}\ndata: {attempt} {event}\n\n".encode()
            if event == silent_at:
                bytes_of_piece = f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
                await self._fall_silent(writer, bytes_of_piece, self.random.randrange(len(bytes_of_piece)))
                continue
            if self.fault in ("babble", "trickle", "cut"):
                self.ledger.broken_off.add(attempt)
            if self.fault == "babble":
                return await self._babble(writer, b"1000000\r\n", b"x" * 65536, 0)
            if self.fault == "trickle":
                return await self._babble(writer, b"", b"2\r\n:\n\r\n", 0.1)
            if self.fault == "cut" and self.random.random() < 0.1:
                writer.write(f"{len(piece):x}\r\n".encode() + piece[:-4])
                return False
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def _fall_silent(self, writer, answer, at):
        """Sends an answer with a silence in its middle, which is no fault."""
        writer.write(answer[:at])
        await writer.drain()
        await asyncio.sleep(self.random.uniform(*SILENCE_S))
        writer.write(answer[at:])
        return True

    async def _stop_inside(self, writer, attempt, fields):
        """Sends a part of an answer of one of three framings and closes or resets the connection."""
        self.ledger.broken_off.add(attempt)
        body = f"answer to {attempt}".encode()
        framing = self.random.choice(["length", "chunks", "close"])
        head = f"HTTP/1.1 200 OK\r\n{fields}".encode()
        answer = head + {
            "length": f"Content-Length: {len(body)}\r\n\r\n".encode() + body, "close": b"\r\n" + body,
            "chunks": f"Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n",
        }[framing]
        end_of_head = answer.index(b"\r\n\r\n") + 4
        inside_head = self.random.random() < 0.5
        at = self.random.randrange(1, end_of_head) if inside_head else self.random.randrange(end_of_head, len(answer))
        writer.write(answer[:at])
        await writer.drain()
        await asyncio.sleep(0.02 * self.random.random())
        # Without a length, an orderly end of the connection inside the body would complete the answer.
        if self.random.random() < 0.5 or (framing == "close" and not inside_head):
            reset(writer)
        return False

    def _refuse_in_pause(self, writer, node, echo):
        now = time.monotonic()
        if now >= self.paused_until:
            return False
        left = self.paused_until - now
        if now > self.asked_to_pause.setdefault(node, now) + 0.5:
            self.in_pause[node] = self.in_pause.get(node, 0) + 1
            if self.in_pause[node] > PAUSE_CROSSINGS:
                self.ignored.append((node, self.asked_to_pause[node], f"{self.name} got requests in its pause"))
        writer.write(whole(503, b"", echo + f"Not-Executed: 1\r\nRetry-After: {left:.3f}\r\n"))
        return True

    def pause(self, seconds):
        self.paused_until = time.monotonic() + seconds
        self.asked_to_pause, self.in_pause = {}, {}

    async def _babble(self, writer, begin, piece, gap):
        """Sends without end until the other side closes."""
        writer.write(begin)
        end = time.monotonic() + BABBLE_S
        while not writer.transport.is_closing():
            if time.monotonic() > end:
                self.ignored.append(("", end - BABBLE_S, f"{self.name} sends without end and is still listened to"))
                return False
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(gap)
        return False


class Ledger:
    """What ran, seen from the targets."""

    def __init__(self, seed):
        self.seed = seed
        self.runs = {}
        self.services = {}  # of targets, by name
        self.runners = {}  # by attempt: the targets that ran it
        self.broken_off = set()  # attempts whose target broke off, or answered with anything but one whole answer
        self.foreign = 0  # requests of another run side by side, which still knows an address that is used again here

    def ran(self, attempt, path, body, target):
        self.runs.setdefault(attempt, []).append((path, body))
        self.runners.setdefault(attempt, []).append(target)
