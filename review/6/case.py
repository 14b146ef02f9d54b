"""Equal requests of two clients, one of which resumes its stream after its gateway was killed."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from harness import CannotRun, Channel, Engine, run_case  # noqa: E402

ZONES = ["a", "a", "b", "b", "c", "d"]
PAIRS = 8
EVENTS = 130
CONFIG = {
    "version": 7,
    "routes": [{"name": "r-1", "host": "repair.example", "pathPrefix": "/notes/", "routeKind": "streaming",
                "timeoutMs": 25000, "goalMs": 4500, "priority": 1, "service": "llm", "maxAttempts": 5, "public": False,
                "sticky": True, "resumable": True, "gapGoalMs": 700}],
    "services": [{"name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False,
                  "engine": {"slots": 64, "kvCapacity": 88000, "kvBytes": 18432, "linkMbps": 740000.0, "moves": True,
                             "backups": True, "stride": 10, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                             "handleS": 4.0, "models": [{"name": "m"}]}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "repairs", "apiKeys": ["key-of-repairs"], "priority": 1}],
}


async def read_stream(record, client, ips, topic, owners):
    """A client that reads a stream to its end and resumes it at the next gateway after a loss, as the pages allow."""
    received = []
    for number, ip in enumerate(ips):
        attempt = f"{client}-{number}"
        owners[attempt] = client
        channel = Channel(record, client, ip)
        try:
            await channel.open()
        except (OSError, asyncio.TimeoutError):
            record.write(f"{client} reaches nobody at {ip}")
            continue
        headers = {"Host": "repair.example", "Model": "m", "Token-Counts": f"200,{EVENTS * 10}",
                   "Prefix-Hash": f"5c1e07a2:100,{topic:08x}:100", "Deadline-Ms": 20000, "X-Api-Key": "key-of-repairs"}
        if received:
            headers["Last-Event-Id"] = received[-1][0]
        channel.send("POST", f"/notes/{topic}", attempt, headers, b"Draft the notes of ticket %d." % topic)
        status, _, _, whole = await channel.answer(attempt, lambda number, text: received.append((number, text)))
        channel.close()
        if status == 200 and whole:
            break
        await asyncio.sleep(0.05)
    texts = []
    for number, text in received:
        voice = text.split(" ")[0]
        if not texts or texts[-1][1] != voice:
            texts.append((number, voice))
    record.write(f"{client} has {len(received)} events; the text came from the run with text "
                 + ", then ".join(f"{voice} (from event {number})" for number, voice in texts))
    return received


async def case(deployment, record, trouble):
    await deployment.start(CONFIG, ZONES)
    engines = {}
    workers = []
    for index, zone in enumerate("abcd" * 2):
        worker = Engine(deployment.store, record, f"i-{index}", "llm", zone, engines)
        await worker.start(deployment.ip(100 + index))
        workers.append(worker)
    await asyncio.sleep(4)  # the gateways know each other and the workers, and are in touch
    first, second, third = (node.ip for node in deployment.nodes[:3])
    owners = {}
    readers = []
    for topic in range(PAIRS):
        readers.append(asyncio.create_task(read_stream(record, f"A{topic}", [first, third, first], topic, owners)))
        await asyncio.sleep(0.02)
        readers.append(asyncio.create_task(read_stream(record, f"B{topic}", [second, first, third], topic, owners)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.5)
    if trouble:
        deployment.nodes[1].send(signal.SIGKILL)
    received = await asyncio.gather(*readers)
    broken = []
    for worker in workers:
        for attempt, run in worker.continued:
            if owners.get(attempt) != owners.get(run):
                broken.append(f"MIXED: {attempt} of client {owners.get(attempt)} went on at {worker.name} from the "
                              f"memory of {run}, the request of client {owners.get(run)}")
    if not broken and any(len(events) != EVENTS for events in received):
        raise CannotRun("a stream didn't get to its end")
    return broken


sys.exit(run_case(HERE, case))
