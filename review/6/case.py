"""Clients that send one stream after another on kept channels while their gateway is stopped as planned."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from harness import BOUNDS, CannotRun, Channel, Engine, run_case  # noqa: E402

ZONES = ["a", "b"]
CLIENTS = 12
EVENTS = 130
PAUSE_S = 0.033
GRACE_S = BOUNDS["graceS"]
CONFIG = {
    "version": 7,
    "routes": [{"name": f"r-{prefix}", "host": "repair.example", "pathPrefix": f"/{prefix}/", "routeKind": "streaming",
                "timeoutMs": 25000, "goalMs": 4500, "priority": 1, "service": "llm", "maxAttempts": 5, "public": False,
                "sticky": True, "resumable": prefix == "notes", "gapGoalMs": 700} for prefix in ("notes", "drafts")],
    "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kvCapacity": 88000, "kvBytes": 18432, "linkMbps": 740000.0, "moves": True,
                             "backups": True, "stride": 10, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                             "handleS": 4.0, "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "repairs", "apiKeys": ["key-of-repairs"], "priority": 1}],
}


async def converse(record, client, prefix, ip, until, log):
    """Sends a stream as soon as the last one has ended, on the same channel unless an answer says close."""
    channel = None
    number = 0
    while time.monotonic() < until:
        number += 1
        attempt = f"{client}-{number}"
        if channel is None:
            channel = Channel(record, client, ip)
            try:
                await channel.open()
            except (OSError, asyncio.TimeoutError):
                record.write(f"{client} reaches nobody at {ip}")
                return
        sent = time.monotonic()
        channel.send("POST", f"/{prefix}/{client}", attempt, {
            "Host": "repair.example", "Model": "m", "Token-Counts": f"200,{EVENTS * 10}",
            "Prefix-Hash": f"5c1e07a2:100,{abs(hash(attempt)) & 0xffffffff:08x}:100", "Deadline-Ms": 20000,
            "X-Api-Key": "key-of-repairs"}, b"Draft the notes.")
        status, headers, _, whole = await channel.answer(attempt)
        log.append((attempt, sent, status, whole, time.monotonic()))
        if not whole or headers.get("connection") == "close":
            channel.close()
            channel = None
            if not whole:
                return


async def case(deployment, record, trouble):
    await deployment.start(CONFIG, ZONES)
    engines = {}
    workers = []
    for index, zone in enumerate("abab"):
        worker = Engine(deployment.store, record, f"i-{index}", "llm", zone, engines, event_s=PAUSE_S)
        await worker.start(deployment.ip(100 + index))
        workers.append(worker)
    await asyncio.sleep(4)  # the gateways know each other and the workers, and are in touch
    node = deployment.nodes[0]
    begin = time.monotonic()
    stopped = begin + 8
    log = []
    clients = []
    for index in range(CLIENTS):
        client = ("notes", "drafts")[index % 2]  # the first may be resumed
        clients.append(asyncio.create_task(
            converse(record, f"{client}{index}", client, node.ip, stopped + GRACE_S, log)))
        await asyncio.sleep(0.4)  # their streams end at different times
    await asyncio.sleep(stopped - time.monotonic())
    stopped = time.monotonic()
    if trouble:
        node.send(signal.SIGTERM)
    else:
        record.write("no SIGTERM")
    await asyncio.gather(*clients)
    ran = {run[0] for worker in workers for run in worker.runs}
    broken = []
    for attempt, sent, status, whole, ended in sorted(log, key=lambda each: each[1]):
        if whole or attempt not in ran:
            continue
        text = (f"{attempt}, sent {sent - stopped:+.3f} s and cut {ended - stopped:+.3f} s from the SIGTERM, "
                f"after {ended - sent:.3f} s of its 20 s")
        excused = sent <= stopped + 3 and ended >= stopped + GRACE_S * 5 / 6
        record.write(("cut as the rule allows: " if excused else "cut: ") + text)
        if not excused:
            broken.append("LOST: " + text)
    if not any(status == 200 and whole for _, _, status, whole, _ in log):
        raise CannotRun("no stream was served")
    return broken


sys.exit(run_case(HERE, case))
