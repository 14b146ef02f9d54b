"""A worker leaves as the gateway that reads the store is killed, and a late write brings its old entry back."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from harness import BOUNDS, HEARTBEAT_S, METRICS, CannotRun, Channel, Target, message, run_case  # noqa: E402

ZONES = ["a", "a", "b", "b", "c", "d"]
DRAIN_S = BOUNDS["drainMs"] / 1000
LATE_S = 6.0  # of a write that is performed late; the bench has 1 to 6 s
SERVES_ON_S = 9.0  # of a worker whose entry is removed: drainMs and "at times many seconds" more
CLIENTS = 6
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "repair.example", "pathPrefix": "/orders/", "routeKind": "unsafe",
                "timeoutMs": 2500, "goalMs": 150, "priority": 2, "service": "booking", "maxAttempts": 1,
                "public": False}],
    "services": [{"name": "booking", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "repairs", "apiKeys": ["key-of-repairs"], "priority": 1}],
}


class Booking(Target):
    """A plain worker."""

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born}

    async def serve(self, reader, writer, method, target, headers, body, echo):
        if "attempt-id" not in headers:
            writer.write(message(400, b"", "Not-Executed: 1\r\n"))
            return True
        attempt = headers["attempt-id"]
        self.runs.append((attempt, target, time.monotonic()))
        await asyncio.sleep(0.03)
        writer.write(message(200, b"booked", echo + f"Server-Stamp: {self.name}.{attempt}\r\n"))
        return True


async def readings_of(node):
    """How often a gateway has read the store, by its metrics."""
    reader, writer = await asyncio.open_connection(node.ip, METRICS)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    page = (await asyncio.wait_for(reader.read(), 2)).decode("latin-1")
    writer.close()
    return sum(float(line.rsplit(" ", 1)[1]) for line in page.split("\n") if "store_readings" in line and line[:1] != "#")


async def reader_of(nodes):
    """The gateway that reads the store for all: the one that has read most in the last seconds."""
    before = [await readings_of(node) for node in nodes]
    await asyncio.sleep(2)
    read = [await readings_of(node) - count for node, count in zip(nodes, before)]
    if max(read) < 2:
        raise CannotRun(f"no gateway reads the store: {read}")
    return nodes[read.index(max(read))]


async def order(record, client, nodes, until, answers):
    number = 0
    while time.monotonic() < until:
        number += 1
        alive = [node for node in nodes if node.process.poll() is None]
        attempt = f"{client}-{number}"
        channel = Channel(record, client, alive[number % len(alive)].ip)
        try:
            await channel.open()
            channel.send("POST", f"/orders/{attempt}", attempt, {
                "Host": "repair.example", "Deadline-Ms": 2500, "X-Api-Key": "key-of-repairs"}, b"one board")
            answers[attempt] = (await asyncio.wait_for(channel.answer(attempt), 3))[0]
        except (OSError, asyncio.TimeoutError):
            answers[attempt] = 0
        channel.close()
        await asyncio.sleep(0.1)


async def case(deployment, record, trouble):
    await deployment.start(CONFIG, ZONES)
    store = deployment.store
    workers = []
    for index in range(4):
        worker = Booking(store, record, f"i-{index}", "booking", "abcd"[index], 6)
        await worker.start(deployment.ip(100 + index))
        workers.append(worker)
    leaving = workers[0]
    await asyncio.sleep(12 * HEARTBEAT_S)
    late = leaving.entry()  # a renewal whose answer is lost; the worker goes on to renew
    record.write(f"a renewal of {leaving.name} gets no answer: {late}")
    await asyncio.sleep(1)
    reader = await reader_of(deployment.nodes)
    answers = {}
    begin = time.monotonic()
    clients = [asyncio.create_task(order(record, f"c{index}", deployment.nodes, begin + 10, answers))
               for index in range(CLIENTS)]
    await asyncio.sleep(0.5)
    if trouble:
        reader.send(signal.SIGKILL)
    leaving.beat.cancel()
    store.remove("servers", leaving.name)
    gone = time.monotonic()
    record.write(f"the entry of {leaving.name} is removed, seq {leaving.seq}; it serves on for {SERVES_ON_S:.0f} s")
    await asyncio.sleep(LATE_S - 3.6)
    if trouble:
        store.put("servers", leaving.name, late)
        record.write(f"the lost renewal is performed late: {late}")
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, store.remove, "servers", leaving.name)
    await asyncio.sleep(gone + SERVES_ON_S - time.monotonic())
    leaving.crash()
    await asyncio.gather(*clients)
    arrivals = [(attempt, when - gone) for attempt, _, when in leaving.runs if when > gone + DRAIN_S]
    if not any(status == 200 for status in answers.values()):
        raise CannotRun("no order was served")
    return [f"DRAIN: {attempt} reached {leaving.name} {after:.2f} s after its entry was removed (answered "
            f"{answers.get(attempt)})" for attempt, after in arrivals]


sys.exit(run_case(HERE, case))
