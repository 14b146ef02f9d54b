"""A grey worker fails unsafe requests that it has run, with a status that promises to callers that they didn't run."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from harness import CannotRun, Channel, Target, message, run_case  # noqa: E402

ZONES = ["a", "a", "b", "b", "c", "d"]
WORKERS = 7  # so that one of them is the share of 0.15
GREY_SHARE = 0.4
GREY_S = 6.5  # the longest of the site file; twice, since a kind may come more than once
GREY_AT_S = (1, 11)
LENGTH_S = 20
CLIENTS = 12
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
    """Books an order for each request. A grey one fails a part of its requests after it has booked them."""

    def __init__(self, *fields, statuses):
        super().__init__(*fields)
        self.statuses = statuses  # of failures; none for a sound worker
        self.begin = float("inf")  # of the clients' orders

    def is_grey(self):
        return any(0 <= time.monotonic() - self.begin - at < GREY_S for at in GREY_AT_S)

    async def serve(self, reader, writer, method, target, headers, body, echo):
        if "attempt-id" not in headers:
            writer.write(message(400, b"", "Not-Executed: 1\r\n"))
            return True
        attempt = headers["attempt-id"]
        self.runs.append((attempt, target, body))
        await asyncio.sleep(0.03)
        stamp = echo + f"Server-Stamp: {self.name}.{attempt}\r\n"
        if self.statuses and self.is_grey() and random.random() < GREY_SHARE:
            status = random.choice(self.statuses)
            self.record.write(f"{self.name} has run {attempt} and answers {status}")
            writer.write(message(status, b"the order could not be confirmed", stamp))
        else:
            self.record.write(f"{self.name} has run {attempt}")
            writer.write(message(200, f"booked {target}".encode(), stamp))
        return True


async def order(record, client, ips, until, answers):
    """Opens orders, each once. Sends one again only after a promise that it hasn't run, as a new attempt at another node."""
    number = 0
    while time.monotonic() < until:
        number += 1
        for attempt_number in range(2):  # the client's retries: 1
            attempt = f"{client}-{number}-{attempt_number}"
            channel = Channel(record, client, ips[(number + attempt_number) % len(ips)])
            try:
                await channel.open()
                channel.send("POST", f"/orders/{client}-{number}", attempt, {
                    "Host": "repair.example", "Deadline-Ms": 2500, "X-Api-Key": "key-of-repairs"}, b"one board")
                status, headers, _, whole = await asyncio.wait_for(channel.answer(attempt), 3)
            except (OSError, asyncio.TimeoutError):
                status, headers = 0, {}
            channel.close()
            answers[attempt] = status
            if status not in (408, 421, 429, 503):
                break
            await asyncio.sleep(float(headers.get("retry-after", "0.05")))
        await asyncio.sleep(0.1)


async def case(deployment, record, trouble):
    await deployment.start(CONFIG, ZONES)
    workers = []
    for index in range(WORKERS):
        statuses = [500, 408, 429] if trouble and index == 0 else []
        worker = Booking(deployment.store, record, f"i-{index}", "booking", "abcd"[index % 4], 6, statuses=statuses)
        await worker.start(deployment.ip(100 + index))
        workers.append(worker)
    await asyncio.sleep(4)  # the gateways know each other and the workers, and are in touch
    answers = {}
    for worker in workers:
        worker.begin = time.monotonic()
    until = time.monotonic() + LENGTH_S
    ips = [node.ip for node in deployment.nodes]
    await asyncio.gather(*(order(record, f"c{index}", ips, until, answers) for index in range(CLIENTS)))
    booked = {}
    ran = set()
    for worker in workers:
        for attempt, target, _ in worker.runs:
            ran.add(attempt)
            booked.setdefault(target, []).append(attempt)
    broken = [f"REFUSED: {attempt} was answered {status} and has run"
              for attempt, status in sorted(answers.items()) if status in (408, 421, 429, 503) and attempt in ran]
    twice = [target for target, attempts in booked.items() if len(attempts) > 1]
    record.write(f"{len(booked)} orders, {len(twice)} of them booked twice: {', '.join(twice[:20])}")
    if not any(status == 200 for status in answers.values()):
        raise CannotRun("no order was served")
    return broken


sys.exit(run_case(HERE, case))
