"""Clients with kept channels read their streams slowly, though fast enough to be done before their deadline."""

import asyncio
import os
import random
import socket
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
import world  # noqa: E402

CLIENTS = 8
EVENTS = 130
DEADLINE_S = 25.0
RECEIVE_BUFFER_BYTES = 4096  # a small window
READ_BYTES = 100  # at a time
READ_PAUSE_S = 0.2  # so 500 bytes a second
FULL_SPEED_BYTES = 65536


class Channel:
    """A client's channel, which is kept for a second request."""

    def __init__(self, case):
        self.case, self.held, self.socket = case, b"", socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.size, self.pause = FULL_SPEED_BYTES, 0

    async def connect(self, address):
        await asyncio.get_running_loop().sock_connect(self.socket, address)

    async def send(self, text):
        await asyncio.get_running_loop().sock_sendall(self.socket, text.encode())

    async def _more(self):
        await asyncio.sleep(self.pause)
        data = await asyncio.get_running_loop().sock_recv(self.socket, self.size)
        if not data:
            raise ConnectionError("the channel has ended")
        self.held += data

    async def until(self, mark):
        while mark not in self.held:
            await self._more()
        text, self.held = self.held.split(mark, 1)
        return text.decode("latin-1")

    async def exactly(self, size):
        while len(self.held) < size:
            await self._more()
        data, self.held = self.held[:size], self.held[size:]
        return data


async def use(case, node, index, results):
    channel = Channel(case)
    await channel.connect(node.front)
    # A first request, so that the channel is a kept one.
    attempt = f"g{index}-{random.getrandbits(32):08x}"
    await channel.send(f"GET /status/{index} HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 2500\r\n"
                       "X-Api-Key: key-one\r\n\r\n")
    head = await channel.until(b"\r\n\r\n")
    length = next(int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length"))
    await channel.exactly(length)
    case.record.write("answered", attempt, head.split("\r\n")[0])

    if case.trouble:
        channel.size, channel.pause = READ_BYTES, READ_PAUSE_S
    attempt, sent, events, last_read = f"s{index}-{random.getrandbits(32):08x}", time.monotonic(), 0, 0.0
    case.record.write("sent", attempt, "to", node.ip, "on the same channel")
    await channel.send(f"POST /draft/{attempt} HTTP/1.1\r\nHost: case.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
                       f"Token-Counts: 8200,780\r\nPrefix-Hash: 5c1e07a2:200,{attempt[2:]}:8000\r\n"
                       f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nX-Api-Key: key-one\r\nContent-Length: 5\r\n\r\nhello")
    try:
        head = await channel.until(b"\r\n\r\n")
        if " 200 " not in head.split("\r\n")[0]:
            case.record.write("answered", attempt, head.split("\r\n")[0])
            results[attempt] = ("refused", 0)
            return
        while True:
            size = int(await channel.until(b"\r\n"), 16)
            await channel.exactly(size + 2)
            if not size:
                break
            events, last_read = events + 1, time.monotonic() - sent
        case.record.write("complete", attempt, f"after {time.monotonic() - sent:.1f} s, {events} events")
        results[attempt] = ("complete", time.monotonic() - sent)
    except OSError as problem:
        case.record.write("CUT", attempt, f"after {time.monotonic() - sent:.1f} s, {events} of {EVENTS} events:", repr(problem))
        results[attempt] = ("cut", time.monotonic() - sent)
    finally:
        channel.socket.close()


async def play(case):
    config = world.configuration([world.engine_route(), world.plain_route("/status/", "safe")])
    zones = ("zone-a", "zone-b", "zone-c")
    case.workers = [world.Engine(f"{case.net}.{100 + index}", f"e{index}", "engine", zones[index % 3], case.store, case.record,
                                 prefill_s=1.0, pause_s=0.06, events=EVENTS) for index in range(6)]
    case.workers += [world.Plain(f"{case.net}.{110 + index}", f"w{index}", "plain", zones[index], case.store, case.record)
                     for index in range(3)]
    await case.start(config)
    results = {}
    await asyncio.gather(*[use(case, case.nodes[index % len(case.nodes)], index, results) for index in range(CLIENTS)])
    if not results or any(outcome == "refused" for outcome, _ in results.values()):
        raise RuntimeError("a stream was refused")
    cut = [attempt for attempt, (outcome, after) in results.items() if outcome == "cut" and after < DEADLINE_S - 1]
    case.record.write("cut before their deadline:", len(cut), "of", len(results), "streams on kept channels")
    if len(cut) > 3:
        case.fail(f"LOST: {len(cut)} of {len(results)} streams from kept channels, all passed on to sound workers, end with "
                  "a closed channel and no complete answer, with more than a second left to their deadlines")


world.run(play, world.Case(HERE, nodes=3))
