"""A small deployment on loopback for the review's scripts: the platform's store, workers, and gateways as processes.

The stand-ins follow PROTOCOL.md. Faults are added by each case in its own script.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TEMPLATE = os.path.join(ROOT, "deploy", "gateway-settings.json")
PROGRAM = os.path.join(ROOT, "target", "bin", "oriolepick-gateway")  # the command of deploy/system.toml
BEAT_S = 1.2
GRACE_S = 8
HOST = "review.example"
KEY = "key-of-one"
TENANT = "one"


class CannotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.4f}  {text}\n")
        self.file.flush()


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_request(reader):
    """Reads a request with a length or without a body; returns (method, target, headers, body), None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def response(status, body=b"", fields=""):
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{fields}\r\n".encode() + body


class Listener:
    """Accepts connections and answers their requests one after another."""

    address = "127.0.0.1"

    async def listen(self):
        self.writers = set()
        self.server = await asyncio.start_server(self._serve, self.address, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        writer.reader = reader  # tells a run whether its channel was closed
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self.answer(writer, *request):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def exit(self):
        """Ends as a process does: nobody listens any more, and open channels break."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: rows with a single counter of versions, and a feed of changes. It has no faults."""

    def __init__(self):
        self.rows = {}  # (table, key) -> (value, version, removed)
        self.version = 0
        self.began = time.monotonic()

    def put(self, table, key, document):
        self._write((table, key), base64.b64encode(json.dumps(document).encode()).decode(), False)

    def remove(self, table, key):
        self._write((table, key), "", True)

    def _write(self, slot, value, removed):
        self.version += 1
        self.rows[slot] = (value, self.version, removed)

    def _page(self, table, after):
        rows = [{"table": table, "part": "", "key": key, "value": value, "rowVersion": version, "tombstone": removed}
                for (own, key), (value, version, removed) in sorted(self.rows.items(),
                    key=lambda row: row[1][1] if after is not None else row[0])
                if own == table and (not removed if after is None else version > after)]
        return {"rows": rows, "morePages": False, "rowVersion": self.version,
                "nowMs": int(1000 * (time.monotonic() - self.began))}

    async def answer(self, writer, method, target, headers, body):
        path, _, query = target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        await asyncio.sleep(0.004)
        status, page = 404, {}
        if path == "/v1/rows-get":
            status, page = 200, self._page(fields["table"], None)
        elif path == "/v1/rows-feed":
            end = time.monotonic() + min(int(fields.get("waitMs", "0")), 30000) / 1000
            page = self._page(fields["table"], int(fields["afterRev"]))
            while not page["rows"] and time.monotonic() < end:
                await asyncio.sleep(0.02)
                page = self._page(fields["table"], int(fields["afterRev"]))
            status = 200
        elif path == "/v1/rows-tx":
            call = json.loads(body)
            for row in call["writes"]:
                self._write((row["table"], row["key"]), row["value"], False)
            for row in call["remove"]:
                self.remove(row["table"], row["key"])
            status, page = 200, {"rowVersion": self.version, "nowMs": int(1000 * (time.monotonic() - self.began))}
        writer.write(response(status, json.dumps(page).encode(), "Content-Type: application/json\r\n"))
        return True


class Worker(Listener):
    """A sound worker of a plain service; subclasses say what a run does."""

    def __init__(self, number, service, zone, slots, record):
        self.name, self.service, self.zone, self.slots = f"i-{service}-{number}", service, zone, slots
        self.address = f"127.0.2.{number}"
        self.record = record
        self.seq = 0
        self.busy = 0
        self.runs = {}  # attempt -> times
        self.born = int(time.time() * 1000)

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.endpoint, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born}

    async def answer(self, writer, method, target, headers, body):
        if target == "/healthz":
            writer.write(response(200, b"", f"Instance: {self.name}\r\n"))
            return True
        attempt = headers.get("attempt-id")
        if not attempt:
            writer.write(response(400, b"", "Not-Executed: 1\r\n"))
            return True
        echo = f"Attempt-Id: {attempt}\r\n"
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(response(421, b"", echo + f"Instance: {self.name}\r\nNot-Executed: 1\r\n"))
            return True
        return await self.run(writer, method, target, headers, body, attempt, echo)

    def begin(self, attempt):
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record(f"worker {self.name} runs {attempt}")

    def stamp(self, attempt):
        return f"Server-Stamp: {self.name}.{attempt}.{self.runs[attempt]}\r\n"


class Gateway:
    """One process of the gateway with the settings that the deploy file's template makes."""

    def __init__(self, number, zone, ports, seeds, store, folder, record):
        self.name, self.ip = f"frontend-{zone}-{number}", f"127.0.1.{number}"
        self.front, self.readiness, self.control, self.internal = ports
        self.record = record
        self.settings = os.path.join(folder, f"{self.name}.json")
        self.log = os.path.join(folder, f"{self.name}.log")
        values = {
            "nodeName": self.name, "zone": zone, "region": "r", "ip": self.ip, "internalPorts": [self.internal],
            "listen": {"front": f"{self.ip}:{self.front}", "readiness": f"{self.ip}:{self.readiness}"},
            "seeds": [f"{seed}:{self.control}" for seed in seeds],
            "bounds": {"drainMs": 2000, "configApplyMs": 2000, "graceS": GRACE_S, "retryBudgetRatio": 0.8,
                       "retryBudgetSlack": 150, "budgetWindowS": 10},
            "platform": {"address": store.endpoint}, "limits": {"linkMbps": 1000.0, "memoryMb": 260}}

        def value(match):
            name, _, form = match.group(1).partition("|")
            found = values
            for part in name.split("."):
                found = found[int(part)] if isinstance(found, list) else found[part]
            return json.dumps(found) if form == "json" else str(found)

        def section(match):  # rendered when its value is present
            found = values
            for part in match.group(1).split("."):
                found = found.get(part) if isinstance(found, dict) else None
            return match.group(2) if found is not None else ""

        with open(TEMPLATE) as template:
            text = re.sub(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}", section, template.read(), flags=re.DOTALL)
        text = re.sub(r"\{\{([^}]*)\}\}", value, text)
        text = text.replace(f"{self.ip}:9464", f"{self.ip}:{free_port(self.ip)}")  # the metrics' port may be in use
        with open(self.settings, "w") as file:
            file.write(text)
        self.process = None

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], stdout=log, stderr=log, cwd=ROOT,
                                            env={"PATH": os.environ["PATH"], "ORIOLEPICK_CONFIG": self.settings})
        self.record(f"{self.name} starts")

    def signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.readiness)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Deployment:
    """Store, workers and gateways. Use as an asynchronous context: all processes are ended at its end."""

    def __init__(self, folder, gateways=3):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.workers, self.gateways, self.tasks = [], [], []
        self.count = gateways
        self.config = {"version": 1, "routes": [], "services": [],
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                  "idleTimeoutMs": 15000},
                       "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}

    async def __aenter__(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} does not exist: run the build of the deploy file")
        await self.store.listen()
        return self

    async def start(self):
        for worker in self.workers:
            await worker.listen()
        self.store.put("op", "config", self.config)
        self.tasks.append(asyncio.ensure_future(self._beat()))
        ports = [free_port("127.0.1.1") for _ in range(4)]
        seeds = [f"127.0.1.{number}" for number in range(1, self.count + 1)][:3]
        for number in range(1, self.count + 1):
            gateway = Gateway(number, "ab"[number % 2], ports, seeds, self.store, self.temporary.name, self.record)
            self.gateways.append(gateway)
            gateway.start()
        end = time.monotonic() + 10
        while not all([await gateway.is_ready() for gateway in self.gateways]):
            if time.monotonic() > end:
                raise CannotRun("the gateways don't get ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.5)  # the nodes have been in touch for contactMs

    async def _beat(self):
        while True:
            for worker in self.workers:
                if worker.server.is_serving():
                    self.store.put("servers", worker.name, worker.entry())
            await asyncio.sleep(BEAT_S)

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.kill()
        for gateway in self.gateways:
            if gateway.process:
                gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                os.system(f"cp {gateway.log} {os.environ['KEEP_LOGS']}/")
        self.temporary.cleanup()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(case):
    """Runs a case, a coroutine that returns the list of breaches, and exits as the review's issue asks."""
    try:
        breaches = asyncio.run(asyncio.wait_for(case(), 110))
    except Exception as problem:  # an uncaught one would end with 1, which means a broken rule
        print(f"the case couldn't run: {problem!r}")
        sys.exit(2)
    for breach in breaches[:10]:
        print(breach)
    print(f"{len(breaches)} breaches")
    sys.exit(1 if breaches else 0)
