#!/usr/bin/env python3
"""Turns the output of the users' sweep into rows of bench/results.

Usage: bench/read_sweep.py SITE < OUTPUT > ROWS
"""
import json
import re
import sys

# Label of the sweep's table and the figure's name here; each cell is "middle / busiest".
FIGURES = {
    "gateway: processor %": "processor_percent",
    "gateway: memory MB": "memory_mb",
    "gateway: kB a second": "traffic_kb_s",
    "gateway: wake-ups a second": "wakeups_s",
    "gateway: connections": "connections",
    "leaving in force, ms": "drain_in_force_ms",
    "serving after all were killed, ms": "recovery_ms",
}


def main(site, lines):
    sizes, worth, cells = [], {}, {}
    for line in lines:
        day = re.match(r"sweep-(\d+) +(\d+)/(\d+) +\S+ +([\d.]+)", line)
        if day:
            sizes.append((int(day[1]), int(day[2]), int(day[3])))
            worth[int(day[1])] = float(day[4])
        for label, name in FIGURES.items():
            if line.startswith(label + " "):
                cells[name] = re.findall(r"([\d.]+) / ([\d.]+)", line)
    if not sizes or len(cells) != len(FIGURES):
        raise SystemExit("the input is not the output of a sweep")
    for index, (size, nodes, targets) in enumerate(sizes):
        figures = {"worth": worth[size]}
        for name, values in cells.items():
            figures[name + "_middle"], figures[name + "_busiest"] = map(float, values[index])
        print(json.dumps({"name": "gateway_sweep", "parameters": {"site": site, "nodes": nodes, "targets": targets},
                          "figures": figures}))


if __name__ == "__main__":
    if len(sys.argv) != 2:
        raise SystemExit(__doc__)
    main(sys.argv[1], sys.stdin)
