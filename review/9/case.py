"""A request that crashes its workers comes again after all gateways were killed at once."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from harness import BOUNDS, CannotRun, Channel, Target, message, run_case  # noqa: E402

ZONES = ["a", "a", "b", "b", "c", "d"]
CONTACT_S = BOUNDS["contactMs"] / 1000
ALLOWED_RETRIES = 3
CALLERS = 3  # that send the request again and again, each at another machine
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "repair.example", "pathPrefix": "/status/", "routeKind": "safe",
                "timeoutMs": 2500, "goalMs": 150, "priority": 2, "service": "booking", "maxAttempts": 2,
                "public": False}],
    "services": [{"name": "booking", "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "repairs", "apiKeys": ["key-of-repairs"], "priority": 1}],
}


class Booking(Target):
    """A plain worker that the request for /status/crash crashes as soon as it begins to run it."""

    def __init__(self, *fields, crashes, back):
        super().__init__(*fields)
        self.crashes, self.back = crashes, back

    async def serve(self, reader, writer, method, target, headers, body, echo):
        if "attempt-id" not in headers:
            writer.write(message(400, b"", "Not-Executed: 1\r\n"))
            return True
        attempt = headers["attempt-id"]
        self.runs.append((attempt, target, body))
        if target == "/status/crash":
            self.crashes.append((time.monotonic(), attempt, self.name))
            self.record.write(f"{self.name} begins to run {attempt}")
            self.die()
            asyncio.create_task(self.back(self))
            return False
        await asyncio.sleep(0.03)
        writer.write(message(200, f"status for {attempt}".encode(), echo + f"Server-Stamp: {self.name}.{attempt}\r\n"))
        return True


async def ask(record, client, ip, target, number):
    attempt = f"{client}-{number}"
    channel = Channel(record, client, ip)
    try:
        await channel.open()
        channel.send("GET", target, attempt, {"Host": "repair.example", "Deadline-Ms": 2500,
                                              "X-Api-Key": "key-of-repairs"})
        status, _, _, _ = await asyncio.wait_for(channel.answer(attempt), 3)
    except (OSError, asyncio.TimeoutError):
        status = 0
    channel.close()
    return status


async def case(deployment, record, trouble):
    await deployment.start(CONFIG, ZONES)
    crashes = []
    count = [0]

    async def start(zone):
        count[0] += 1
        worker = Booking(deployment.store, record, f"i-{count[0]}", "booking", zone, 6, crashes=crashes, back=back)
        await worker.start(deployment.ip(100 + count[0]))

    async def back(crashed):
        await asyncio.sleep(3)  # "the worker is back after some seconds"
        await start(crashed.zone)

    for zone in "abcdabcd":
        await start(zone)
    await asyncio.sleep(CONTACT_S + 1)
    number = 0
    served = 0

    async def insist(seconds):
        """The same request comes again and again, at one node after another."""
        nonlocal number, served
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number += 1
            node = deployment.nodes[number % len(deployment.nodes)]
            others = [deployment.nodes[(number + index) % len(deployment.nodes)] for index in range(CALLERS)]
            await asyncio.gather(*(ask(record, f"crasher{index}", other.ip, "/status/crash", number)
                                   for index, other in enumerate(others)))
            served += await ask(record, "other", node.ip, f"/status/{number}", number) == 200
            await asyncio.sleep(0.3)

    await insist(6)
    if len(crashes) < 3:
        raise CannotRun(f"the request crashed {len(crashes)} workers only")
    third = crashes[2][0]
    record.write(f"the request has crashed {len(crashes)} workers, the third {time.monotonic() - third:.1f} s ago")
    if trouble:
        for node in deployment.nodes:
            node.send(signal.SIGKILL)
        await asyncio.sleep(0.5)
        for node in deployment.nodes:
            node.end()
            node.start()
        record.write("all gateways are started again")
    await asyncio.sleep(CONTACT_S + 2)  # started, ready and in touch again
    await insist(6)
    await asyncio.sleep(3)
    late = [each for each in crashes if each[0] > third + CONTACT_S]
    for when, attempt, worker in late:
        record.write(f"{attempt} reached {worker} {when - third:.1f} s after the third crash")
    if not served:
        raise CannotRun("no other request was served")
    if len(late) <= ALLOWED_RETRIES:
        return []
    return [f"BUDGET: the request reached and crashed workers {len(late)} times later than {CONTACT_S:.0f} s after "
            f"it had crashed the third; {ALLOWED_RETRIES} are allowed"]


sys.exit(run_case(HERE, case))
