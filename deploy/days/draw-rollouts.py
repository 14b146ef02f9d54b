#!/usr/bin/env python3
"""Draws days with a rollout beside one to three other disturbances, and writes them as files for `fleetbench run`.

Usage: draw-rollouts.py SERVICE COUNT SEED DIRECTORY [KIND...]
KIND names further disturbances that the deployment lists, such as srv_slow. Every second day brings in a good version;
the others bring in one that is bad at once, later, under load or on one route.
"""
import pathlib
import random
import sys

VERSIONS = ["bad-now", "good", "bad-later", "good", "bad-load", "good", "bad-route", "good"]
DISTURBANCES = [
    {"kind": kind}
    for kind in (
        "burst", "hot_key", "retry_abuse", "give_up", "srv_crash", "srv_grey", "srv_lying_health", "srv_flap",
        "node_kill", "node_freeze", "node_slow", "herd_kill", "core_cut", "node_cut", "lossy", "platform_down",
        "platform_slow", "platform_lost", "config_change", "answer_lost", "garble",
    )
] + [{"kind": "srv_crash", "how": "domain"}, {"kind": "platform_down", "how": "nodes busy"}]


def draw_disturbance(draw, service, kinds):
    entry = {"at": round(draw.uniform(3, 16), 1), "for_s": round(draw.uniform(1.5, 6), 1), **draw.choice(kinds)}
    if entry["kind"] == "burst":
        entry["x"] = round(draw.uniform(1.2, 2), 2)
    if entry["kind"] == "herd_kill":
        entry["share"] = 0.3
    if entry["kind"].startswith("srv") and draw.random() < 0.6:
        entry["service"] = service
    return entry


def as_toml(entry):
    quoted = (f'{key} = "{value}"' if isinstance(value, str) else f"{key} = {value}" for key, value in entry.items())
    return "{ " + ", ".join(quoted) + " }"


def main():
    service, count, seed, directory = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), pathlib.Path(sys.argv[4])
    kinds = DISTURBANCES + [{"kind": kind} for kind in sys.argv[5:]]
    for number in range(count):
        draw = random.Random(seed + number)
        version = VERSIONS[number % len(VERSIONS)]
        good = version == "good"
        rollout = {
            "at": round(draw.uniform(4, 7), 1),
            "kind": "rollout_good" if good else "rollout_bad",
            "service": service,
            "for_s": 16.0 if good else 14.0,
        }
        if not good and version != "bad-now":
            rollout["how"] = version.split("-")[1]
        others = [draw_disturbance(draw, service, kinds) for _ in range(draw.randint(1, 3))]
        name = f"rollout-{number:02d}-{version}"
        (directory / f"{name}.toml").write_text(
            f'name = "{name}"\nslot = "trouble"\nplan = [ {as_toml(rollout)} ]\n'
            f"faults = [ {', '.join(map(as_toml, others))} ]\n"
        )


main()
