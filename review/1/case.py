"""Workers that send a second copy of some answers, on a route whose requests run once at most.

A service with one worker is often full and says so ("Not-Executed"). Twice for five seconds that worker, one of two,
repeats 3 in 100 of its answers, late: the copy goes ahead of the next answer on that channel. All copies carry the id of
their own request.
"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from deployment import HOST, KEY, Deployment, Worker, play, response, trouble  # noqa: E402

SLOTS = 2
WORK_S = 0.01
GATEWAYS = 6  # as at bsr-bench
CALLERS_PER_GATEWAY = 1
LENGTH_S = 20
HARMS_FROM_S, HARM_FOR_S = (3, 13), 5.0
HARMED_SHARE, HARMED_ANSWERS = 0.6, 0.03
ATTEMPTS = 4
DEADLINE_MS = 2_500


class Booking(Worker):
    def __init__(self, *arguments, harmed, seed):
        super().__init__(*arguments)
        self.harmed, self.random = harmed, random.Random(seed)
        self.harms = []  # when each begins and ends
        self.answers = self.copies = 0
        self.late = {}  # channel -> the copy that goes ahead of its next answer

    async def run(self, writer, method, target, headers, body, attempt, echo):
        if self.busy >= SLOTS:
            self.send(writer, response(503, b"", echo + "Not-Executed: 1\r\n"), attempt)
            return True
        self.busy += 1
        self.begin(attempt)
        try:
            await asyncio.sleep(WORK_S * self.random.uniform(0.5, 1.5))
            self.send(writer, response(200, b"order " + attempt.encode(), echo + self.stamp(attempt)), attempt)
        finally:
            self.busy -= 1
        return True

    def send(self, writer, answer, attempt):
        copy = self.late.pop(writer, None)
        if copy:
            self.record(f"worker {self.name} sends a late copy, of {copy[1]}, ahead of its answer to {attempt}")
            writer.write(copy[0])
        writer.write(answer)
        if self.harmed and any(begin <= time.monotonic() < end for begin, end in self.harms):
            self.answers += 1
            if self.random.random() < HARMED_ANSWERS:
                self.copies += 1
                self.late[writer] = answer, attempt


class Caller:
    """Opens orders one after another; a refused one is sent again as the answer says, as a new attempt."""

    def __init__(self, number, gateway, record, answered):
        self.number, self.gateway, self.record, self.answered = number, gateway, record, answered
        self.random = random.Random(number)
        self.sent = 0

    async def play(self, until):
        reader = writer = None
        while time.monotonic() < until:
            if writer is None:
                reader, writer = await asyncio.open_connection(self.gateway.ip, self.gateway.front)
            self.sent += 1
            attempt = f"{self.number:08x}{self.sent:08x}"
            self.record(f"caller sends {attempt} to {self.gateway.name}")
            writer.write(f"POST /orders/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nX-Api-Key: {KEY}\r\n"
                         f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 5\r\n\r\norder".encode())
            try:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_MS / 1000 + 1)
                fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields["content-length"]))
            except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError):
                self.answered[attempt] = 0
                writer = None
                continue
            status = int(head.split()[1])
            self.answered[attempt] = status
            self.record(f"caller of {attempt} gets {status}")
            if status in (429, 503):
                await asyncio.sleep(min(float(fields.get("retry-after", "0.1")), DEADLINE_MS / 3000))
            await asyncio.sleep(0.005 * self.random.random())
        if writer:
            writer.close()


async def case():
    async with Deployment(FOLDER, GATEWAYS) as deployment:
        record = deployment.record
        deployment.config["services"] = [{"name": name, "healthPath": "/healthz", "maxConns": 96}
                                         for name in ("booking", "status")]
        deployment.config["routes"] = [{"name": "orders", "host": HOST, "pathPrefix": "/orders/", "routeKind": "unsafe",
                                        "service": "booking", "timeoutMs": 2_500, "goalMs": 1_000,
                                        "maxAttempts": ATTEMPTS, "priority": 2}]
        seed = time.time_ns()
        deployment.workers = [Booking(number, service, zone, SLOTS, record, harmed=number <= 2 * HARMED_SHARE,
                                      seed=seed + number)
                              for number, service, zone in ((1, "booking", "a"), (2, "status", "b"))]
        await deployment.start()
        now = time.monotonic()
        if trouble():
            for worker in deployment.workers:
                worker.harms = [(now + begin, now + begin + HARM_FOR_S) for begin in HARMS_FROM_S]
        answered = {}
        callers = [Caller(number, deployment.gateways[number % GATEWAYS], record, answered)
                   for number in range(GATEWAYS * CALLERS_PER_GATEWAY)]
        await asyncio.gather(*(caller.play(now + LENGTH_S) for caller in callers))
        await asyncio.sleep(0.5)
        runs = {}
        for worker in deployment.workers:
            for attempt, times in worker.runs.items():
                runs[attempt] = runs.get(attempt, 0) + times
            record(f"{worker.name} sent {worker.copies} copies of {worker.answers} answers")
        statuses = {}
        for status in answered.values():
            statuses[status] = statuses.get(status, 0) + 1
        record(f"answers by status: {statuses}")
        return ([f"TWICE: {attempt} ran {times} times" for attempt, times in runs.items() if times > 1]
                + [f"REFUSED: {attempt} was answered {status} and has run" for attempt, status in answered.items()
                   if status in (408, 421, 429, 503) and runs.get(attempt)])


play(case)
