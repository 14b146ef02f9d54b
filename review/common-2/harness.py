"""Stand-ins for the platform's store, engines and clients, and the gateways as processes, for the scripts of review 2.

Everything runs on loopback addresses. Each machine has an address of its own in 127.0.0.0/8, so that all gateways use
the same ports, as on the platform.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATEWAY = os.path.join(ROOT, "target", "bin", "oriolepick-gateway")
TEMPLATE = os.path.join(ROOT, "deploy", "gateway-settings.json")
FRONT, READINESS, CONTROL, PEER, METRICS = 8740, 8749, 8748, 7200, 9464
HEARTBEAT_S = 1.2
BOUNDS = {  # those of the site bsr-bench
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerBoundMs": 5000, "strictRevoke": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.8, "budgetWindowS": 10, "retryBudgetSlack": 150, "recoverS": 12,
    "passMs": 120, "reuseWindowS": 10}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """The file with all that was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Returns the first line and the headers of a message, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return first, headers


def message(status, body=b"", headers=""):
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body


class Server:
    """A listener at one address. Subclasses answer the requests one after another on each connection."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = ""

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                method, target, _ = head[0].split(" ", 2)
                if not await self.answer(reader, writer, method, target, head[1], body):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        """Ends as a process that is killed: nobody listens, and all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store with rows, conditions and the feed of changes."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}  # (table, part, key) -> (value in base64, version, removed)
        self.version = 100
        self.changed = asyncio.Event()

    def put(self, table, key, document):
        self._write(table, "", key, base64.b64encode(json.dumps(document).encode()).decode(), False)

    def remove(self, table, key):
        if (table, "", key) in self.rows:
            self._write(table, "", key, "", True)

    def _write(self, table, part, key, value, removed):
        self.version += 1
        self.rows[table, part, key] = (value, self.version, removed)
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, slot):
        value, version, removed = self.rows[slot]
        row = dict(zip(("table", "part", "key"), slot), rowVersion=version)
        return {**row, "tombstone": True} if removed else {**row, "value": value}

    def _page(self, rows, more=False):
        now = int(time.monotonic() * 1000)
        return json.dumps({"rows": rows, "morePages": more, "rowVersion": self.version, "nowMs": now}).encode()

    async def answer(self, reader, writer, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = {}
        for pair in query.split("&"):
            name, _, value = pair.partition("=")
            fields[name] = re.sub("%([0-9A-Fa-f]{2})", lambda code: chr(int(code.group(1), 16)), value)
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            slots = sorted(slot for slot, row in self.rows.items() if slot[0] == fields["table"]
                           and slot[1] == fields.get("part", "") and not row[2] and slot[2] >= fields.get("from", ""))
            most = min(int(fields.get("limit", "500")), 500)
            writer.write(message(200, self._page([self._row(slot) for slot in slots[:most]], len(slots) > most)))
            return True
        if path == "/v1/rows-feed":
            after = int(fields["afterRev"])
            end = time.monotonic() + min(int(fields.get("waitMs", "0")), 30000) / 1000
            while True:
                changes = sorted((row[1], slot) for slot, row in self.rows.items()
                                 if slot[0] == fields["table"] and row[1] > after)
                if changes or time.monotonic() >= end:
                    writer.write(message(200, self._page([self._row(slot) for _, slot in changes])))
                    return True
                try:
                    await asyncio.wait_for(asyncio.shield(self.changed.wait()), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/rows-tx":
            call = json.loads(body)
            for row in call.get("expectedRev", []):
                known = self.rows.get((row["table"], row.get("part", ""), row["key"]))
                if (known[1] if known and not known[2] else 0) != row["rowVersion"]:
                    held = [self._row((each["table"], each.get("part", ""), each["key"])) for each in call["expectedRev"]
                            if (each["table"], each.get("part", ""), each["key"]) in self.rows]
                    writer.write(message(412, self._page(held)))
                    return True
            for row in call.get("writes", []):
                self._write(row["table"], row.get("part", ""), row["key"], row["value"], False)
            for row in call.get("remove", []):
                self._write(row["table"], row.get("part", ""), row["key"], "", True)
            writer.write(message(200, self._page([])))
            return True
        writer.write(message(404))
        return True


class Target(Server):
    """What engines and plain services share: the registration, the health probe and the check of the instance."""

    def __init__(self, store, record, name, service, zone, slots):
        super().__init__()
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots = slots
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.beat = None
        self.renewed = 0.0  # when it last wrote its registration
        self.runs = []  # (attempt, target, body) of all requests that ran

    async def start(self, ip):
        await self.listen(ip)
        self.beat = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.seq += 1
            self.renewed = time.monotonic()
            self.store.put("servers", self.name, {
                "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, reader, writer, method, target, headers, body):
        if target == "/healthz":
            writer.write(message(200, b"", f"Instance: {self.name}\r\n"))
            return True
        if target == "/v1/report":  # as at the bench: not compared with Expect-Instance, since it is no request to run
            return await self.serve(reader, writer, method, target, headers, body, "")
        attempt = headers.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n" if attempt else ""
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(message(421, b"", echo + f"Instance: {self.name}\r\n"))
            return True
        return await self.serve(reader, writer, method, target, headers, body, echo)


    def die(self):
        """Crashes; the store removes its entry after three heartbeat intervals of silence."""
        self.record.write(f"{self.name} of {self.service} at {self.address} crashes")
        self.beat.cancel()
        self.crash()
        left = max(self.renewed + 3 * HEARTBEAT_S - time.monotonic(), 0)
        asyncio.get_running_loop().call_later(left, self.store.remove, "servers", self.name)


class Engine(Target):
    """A model worker. The text of a run is drawn from the run's own random numbers, as sampling does, so that the
    pieces of two runs differ. A run's memory is copied with Kv-Backup and used with Kv-From as the pages say."""

    def __init__(self, store, record, name, service, zone, engines, first_s=0.2, event_s=0.033):
        super().__init__(store, record, name, service, zone, 64)
        self.engines = engines  # address -> engine
        self.first_s, self.event_s = first_s, event_s
        self.copies = {}  # run -> [text of the run, as far as it was copied]
        self.active = {}
        self.continued = []  # (attempt that goes on, run whose memory it uses)

    async def start(self, ip):
        await super().start(ip)
        self.engines[self.address] = self

    async def serve(self, reader, writer, method, target, headers, body, echo):
        if target == "/v1/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "seq": self.seq, "queued": 0, "active": len(self.active), "kvUsed": 300 * len(self.active),
                      "kvTotal": 88000, "handles": len(self.copies), "born": self.born, "state": "ready", "next": 0,
                      "pinned": 0, "held": 0, "runs": [[run, 300, made, 5] for run, made in self.active.items()]}
            writer.write(message(200, json.dumps(report).encode()))
            return True
        if target.startswith("/v1/kv-handle/"):
            self.copies.pop(target.rsplit("/", 1)[1], None)
            writer.write(message(200, b"{}"))
            return True
        if target == "/v1/kv-move":
            writer.write(message(503, b"{}"))  # no room for copies on order
            return True
        attempt = headers["attempt-id"]
        sent = int(headers.get("last-event-id", "0"))
        if "kv-from" in headers:
            where, run = headers["kv-from"].split("/", 1)
            if where != self.address or run not in self.copies:
                self.record.write(f"{self.name} has no copy for {attempt}: {headers['kv-from']}")
                writer.write(message(503, b"", echo + "Not-Executed: 1\r\n"))
                return True
            voice = self.copies.pop(run)
            self.continued.append((attempt, run))
        else:
            voice = "%08x" % random.getrandbits(32)  # what this run happens to sample
        self.runs.append((attempt, target, body))
        events = int(headers["token-counts"].split(",")[1]) // 10
        self.record.write(f"{self.name} runs {attempt} from event {sent + 1} to {events}, text {voice}"
                          + (f", memory of {headers['kv-from']}" if "kv-from" in headers else "")
                          + (f", backup to {headers['kv-backup']}" if "kv-backup" in headers else ""))
        backup = self.engines.get(headers.get("kv-backup", ""))
        self.active[attempt] = sent
        left = asyncio.create_task(reader.read(1))  # a client that leaves ends its run
        made = sent
        try:
            await asyncio.sleep(self.first_s)
            writer.write(f"HTTP/1.1 200 OK\r\n{echo}Server-Stamp: {self.name}.{attempt}\r\n"
                         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
            while made < events:
                if left.done():
                    raise ConnectionError
                made += 1
                self.active[attempt] = made
                if backup:
                    backup.copies[attempt] = voice
                piece = f"id: {made}\ndata: {voice} {made}\n\n".encode()
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            self.record.write(f"{self.name} has ended {attempt} after event {made}")
            if backup:
                backup.copies.pop(attempt, None)
            if left.done():
                return False
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
            return True
        except (ConnectionError, OSError):
            self.record.write(f"{self.name} stops {attempt} after event {made}: its channel is closed")
            return False
        finally:
            self.active.pop(attempt, None)
            left.cancel()


class Node:
    """A gateway process with the settings that the template gives for a small deployment."""

    def __init__(self, record, folder, ip, zone, zones, seeds, store_address):
        self.record, self.ip, self.zone = record, ip, zone
        self.name = f"frontend-{zone}-{ip.rsplit('.', 1)[1]}"
        fields = {
            "nodeName": self.name, "zone": zone, "region": "r", "ip": ip, "internalPorts": [PEER, PEER + 15],
            "seeds": [f"{each}:{CONTROL}" for each in seeds], "bounds": BOUNDS,
            "listen": {"front": f"{ip}:{FRONT}", "readiness": f"{ip}:{READINESS}", "control": f"{ip}:{CONTROL}"},
            "limits": {"linkMbps": 1000.0, "memoryMb": 260}, "platform": {"address": store_address}}
        with open(TEMPLATE, encoding="utf-8") as template:
            text = re.sub(r"\{\{([^}|]+)(\|json)?\}\}", lambda hole: self._value(fields, *hole.groups()), template.read())
        self.settings = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None

    @staticmethod
    def _value(fields, path, as_json):
        value = fields
        for step in path.split("."):
            value = value[int(step)] if isinstance(value, list) else value[step]
        return json.dumps(value) if as_json or not isinstance(value, str) else value

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([GATEWAY], cwd=ROOT, env={
                "PATH": os.environ.get("PATH", ""), "ORIOLEPICK_CONFIG": self.settings}, stdout=log, stderr=log)

    def send(self, number):
        self.record.write(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READINESS)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """A store, targets and gateways of one run of a script."""

    def __init__(self, record):
        self.record = record
        self.prefix = f"127.{random.SystemRandom().randrange(10, 250)}.{random.SystemRandom().randrange(10, 250)}"
        self.folder = tempfile.TemporaryDirectory(prefix="review-2-")
        self.store = Store(record)
        self.nodes = []

    def ip(self, number):
        return f"{self.prefix}.{number}"

    async def start(self, config, zones):
        """Starts a gateway for each entry of zones."""
        if not os.path.exists(GATEWAY):
            raise CannotRun(f"{GATEWAY} isn't built")
        await self.store.listen(self.ip(250))
        self.store.put("op", "config", config)
        ips = [self.ip(10 + index) for index in range(len(zones))]
        for ip, zone in zip(ips, zones):
            self.nodes.append(Node(self.record, self.folder.name, ip, zone, zones, ips[:3], self.store.address))
            self.nodes[-1].start()
        end = time.monotonic() + 15
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end or any(node.process.poll() is not None for node in self.nodes):
                raise CannotRun("the gateways don't get ready")
            await asyncio.sleep(0.1)

    def end(self):
        for node in self.nodes:
            node.end()
        self.folder.cleanup()


class Channel:
    """A client's channel to a gateway."""

    def __init__(self, record, client, ip):
        self.record, self.client, self.ip = record, client, ip
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.ip, FRONT), 1)

    def send(self, method, target, attempt, headers, body=b""):
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self.record.write(f"{self.client} sends {attempt} to {self.ip}: {method} {target}"
                          + "".join(f", {name}: {headers[name]}" for name in ("Last-Event-Id",) if name in headers))
        self.writer.write(f"{method} {target} HTTP/1.1\r\nAttempt-Id: {attempt}\r\n{fields}"
                          f"Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def answer(self, attempt, on_event=None):
        """Reads an answer. Returns (status, headers, body, whole); calls on_event(id, text) for each event of a stream."""
        head = await read_head(self.reader)
        if head is None:
            self.record.write(f"{self.client}: the channel of {attempt} ends without an answer")
            return 0, {}, b"", False
        status, headers, body = int(head[0].split(" ")[1]), head[1], b""
        whole = True
        try:
            if headers.get("transfer-encoding") == "chunked":
                rest = b""
                while True:
                    size = int(await self.reader.readuntil(b"\r\n"), 16)
                    piece = (await self.reader.readexactly(size + 2))[:-2]
                    if not size:
                        break
                    body += piece
                    rest += piece
                    while b"\n\n" in rest:
                        event, rest = rest.split(b"\n\n", 1)
                        lines = dict(line.split(": ", 1) for line in event.decode().split("\n") if ": " in line)
                        if on_event and "id" in lines:
                            on_event(int(lines["id"]), lines.get("data", ""))
            else:
                body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            whole = False
        self.record.write(f"{self.client} gets {status} for {attempt}, stamp {headers.get('server-stamp', 'none')}, "
                          + ("whole" if whole else "cut off in the middle")
                          + (", " + body.decode("latin-1").strip()[:160] if status != 200 else ""))
        return status, headers, body, whole

    def close(self):
        if self.writer:
            self.writer.close()


def run_case(folder, body):
    """Runs the coroutine body(deployment, record, trouble), which returns the broken promises as texts.

    Returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")

    async def main():
        deployment = Deployment(record)
        try:
            return await asyncio.wait_for(body(deployment, record, trouble), 110)
        finally:
            for node in deployment.nodes:
                try:
                    with open(node.log, encoding="utf-8", errors="replace") as log:
                        kept = [line.strip() for line in log if any(word in line for word in (
                            "run_taken_over", "cut_by_stop", "\"stopping\"", "event=stopping", "taken_over", "stopped"))]
                    for line in kept[:40]:
                        record.file.write(f"log of {node.name}: {line[:400]}\n")
                except OSError:
                    pass
            if os.environ.get("REVIEW_LOGS"):
                for node in deployment.nodes:
                    shutil.copy(node.log, os.environ["REVIEW_LOGS"])
            deployment.end()

    try:
        broken = asyncio.run(main())
    except Exception as problem:  # of the script itself, which must not look like a broken rule
        record.write(f"cannot run: {problem!r}")
        print(f"cannot run: {problem!r}")
        return 2
    for text in broken:
        record.write("BROKEN: " + text)
        print("BROKEN: " + text)
    record.write(f"{len(broken)} broken promises")
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
