#!/usr/bin/env python3
"""Computes docs/CAPACITY.md from the output of bench/collect.

Usage: bench/capacity.py [--results DIRECTORY] (--write | --check | --print)
"""
import json
import math
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"

# The size to design for.
NODES, WORKERS, REQUESTS, TOKENS = 370, 12_000, 7_300, 3_500_000
TEAMS, MODELS, REGIONS, ZONES = 350, 6, 4, 13
CHANGES_PER_DAY, LONG_SHARE = 76_000, 0.11
CONTROL_CORES, CONTROL_BYTES, CONTROL_TRAFFIC = 0.022, 256e6, 3_000
TOKEN_GAP_S, SUBSET, ACTIVE_TEAMS = 0.079, 32, 40
CALL_SHARE = 0.2  # assumed share of non-idempotent calls among the requests
TABLE_WRITES, TABLE_READS = 300, 2_000  # "several hundred" taken as 300


def load(directory):
    rows = []
    for path in sorted(pathlib.Path(directory).glob("*.jsonl")):
        for line in path.read_text().splitlines():
            if line.startswith("{"):
                rows.append(json.loads(line))
    return rows


def find(rows, name, **wanted):
    for row in rows:
        fields = {**row, **row.get("parameters", {}), **row.get("figures", {})}
        if row["name"] == name and all(fields.get(key) == value for key, value in wanted.items()):
            return fields
    raise SystemExit(f"no benchmark row {name} {wanted}")


def slope(rows, name, key, over, **wanted):
    """Least-squares slope of a figure over a parameter."""
    points = []
    for row in rows:
        fields = {**row, **row.get("parameters", {}), **row.get("figures", {})}
        if row["name"] == name and key in fields and all(fields.get(k) == v for k, v in wanted.items()):
            points.append((fields[over], fields[key]))
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)


def verdict(value, budget):
    return "within" if value <= budget else f"over by {100 * (value / budget - 1):.0f}%"


def compute(rows):
    f = {}
    f["requests_node"], f["tokens_node"] = REQUESTS / NODES, TOKENS / NODES
    f["streams_node"] = f["tokens_node"] * TOKEN_GAP_S
    f["long_streams"] = f["streams_node"] * LONG_SHARE
    f["tickets"] = CHANGES_PER_DAY / 86_400
    # The daemon under streams.
    idle = find(rows, "node_idle")
    small, large = find(rows, "node_streams", streams=500), find(rows, "node_streams", streams=1500)
    f["token_us"] = 1e6 * (small["cpu_cores"] - idle["cpu_cores"]) / small["tokens_per_s"]
    f["stream_cores"] = f["tokens_node"] * f["token_us"] / 1e6
    # Over the streams that the run started, not those asked for.
    started = find(rows, "stream_path", path="node", streams=1500)["streams_started"]
    f["stream_bytes"] = (large["resident_bytes"] - idle["resident_bytes"]) / started
    f["streams_memory"] = f["streams_node"] * f["stream_bytes"]
    f["idle_cores"], f["idle_control"], f["idle_bytes"] = idle["cpu_cores"], idle["control_cpu_cores"], idle["resident_bytes"]
    direct = {n: find(rows, "stream_path", path="direct", streams=n) for n in (500, 1500)}
    through = {n: find(rows, "stream_path", path="node", streams=n) for n in (500, 1500)}
    f["paths"] = [(n, direct[n], through[n]) for n in (500, 1500)]
    # Membership, limits, polls: from the sizes of encoded messages.
    big = find(rows, "control_traffic", nodes=96)
    per_node = slope(rows, "control_traffic", "ping_bytes_per_s", "nodes", workers=24, teams=10)
    f["ping_slope"] = per_node
    f["membership_traffic"] = sum(big[k] for k in ("ping_bytes_per_s", "ack_bytes_per_s", "sync_page_bytes_per_s", "sync_request_bytes_per_s"))
    f["demand_traffic"] = big["demand_report_bytes_per_s"] + big["grant_bytes_per_s"]
    f["poll_slope"] = find(rows, "control_traffic_slope")["per_worker"]
    f["polled"] = MODELS * SUBSET
    f["poll_traffic"] = f["poll_slope"] * f["polled"]
    memory = find(rows, "memory")
    f["target_bytes"], f["node_bytes"], f["team_bytes"] = memory["per_target_warm"], memory["per_node"], memory["per_team"]
    f["view_memory"] = f["polled"] * f["target_bytes"]
    f["member_memory"], f["team_memory"] = NODES * f["node_bytes"], TEAMS * f["team_bytes"]
    f["place_us"] = 1e6 / find(rows, "decisions", candidates=SUBSET)["placements_per_s"]
    f["place_cores"] = f["requests_node"] * f["place_us"] / 1e6
    subsets = find(rows, "subsets")
    f["without_node"], f["subset_targets"] = subsets["targets_without_node"], subsets["targets"]
    # Tickets.
    f["fold_us"] = find(rows, "ticket_apply")["parse_and_fold_p50_us"]
    f["fold_cores"] = f["tickets"] * f["fold_us"] / 1e6
    state = find(rows, "ticket_memory")
    f["state_memory"] = state["state_bytes"] + state["next_state_bytes"]
    f["start_ms"] = max(find(rows, "ticket_start", history=n)["start_ms"] for n in (1000, 10_000, 100_000))
    operations = find(rows, "ticket_operations", nodes=NODES)
    f["ticket_traffic"], f["force_ms"] = operations["sent_bytes_per_node_per_second"], operations["in_force_on_all_p99_ms"]
    f["ticket_reads"] = operations["node_reads_per_second"]
    f["submit_reads"], f["ticket_writes"] = operations["submission_reads_per_second"], operations["transactions_per_second"]
    # Calls.
    calls = find(rows, "calls", nodes=NODES, calls_per_s=1460)
    f["call_writes"], f["call_us"] = calls["fleet_commits_per_s"], calls["cpu_us_per_call"]
    f["call_rate"], f["claim_p50"] = REQUESTS * CALL_SHARE, calls["claim_p50_ms"]
    f["call_cores"] = f["call_rate"] / NODES * f["call_us"] / 1e6
    f["call_bytes"] = find(rows, "call_memory")["bytes_per_open_call"]
    ledger = find(rows, "crash_ledger_cost")
    f["fingerprint_bytes"] = ledger["bytes_per_fingerprint"]
    f["ledger_memory"] = 65_536 * f["fingerprint_bytes"]
    # Leases: one row a deployment and zone, renewed every 3 s.
    f["groups"] = MODELS * ZONES
    f["lease_writes"] = f["groups"] / 3
    f["lease_reads"] = f["groups"] * 3 / 3  # three candidates a group, each reads once in 3 s
    # Sums.
    f["control_memory"] = (f["view_memory"] + f["member_memory"] + f["team_memory"] + f["state_memory"] + f["ledger_memory"] + f["idle_bytes"])
    f["control_traffic"] = f["membership_traffic"] + f["demand_traffic"] + f["poll_traffic"] + f["ticket_traffic"]
    f["control_cores"] = f["idle_control"] + f["place_cores"] + f["fold_cores"] + f["call_cores"]
    f["writes"] = f["ticket_writes"] + f["lease_writes"] + f["call_writes"]
    f["reads"] = f["ticket_reads"] + f["submit_reads"] + f["lease_reads"]
    return f


def mb(value):
    return f"{value / 1e6:.1f} MB"


GATEWAY_NODES, GATEWAY_TARGETS = 366, 12_000


def gateway_growth(rows, site, figure):
    """Exponent of a figure over the number of nodes, from the least and the greatest size, and its value at the design size.

    Targets grow with nodes in the sweeps, ten to one; at the design size there are 33 a node.
    """
    points = sorted((row["parameters"]["nodes"], row["figures"][figure]) for row in rows
                    if row["name"] == "gateway_sweep" and row["parameters"]["site"] == site)
    (least, low), (greatest, high) = points[0], points[-1]
    power = math.log(high / low) / math.log(greatest / least) if low and high else 0.0
    return [value for _, value in points], power, high * (GATEWAY_NODES / greatest) ** power


def gateway_page(rows, add):
    sites = sorted({row["parameters"]["site"] for row in rows if row["name"] == "gateway_sweep"})
    add("## Gateways on the users' instances")
    add("")
    add(f"From the users' sweep (`fleetbench sweep`, `bench/read_sweep.py`): the busiest node, by number of nodes, with ten times as many targets; the exponent of growth from the least to the greatest size and what it gives at {GATEWAY_NODES} nodes. The whole table of registrations grows with the targets: at {GATEWAY_TARGETS:,} targets memory and start-up traffic are {GATEWAY_TARGETS / GATEWAY_NODES / 10:.1f} times the column's, unless a node knows a part of the targets only, which is not built.")
    add("")
    for site in sites:
        nodes = sorted(row["parameters"]["nodes"] for row in rows
                       if row["name"] == "gateway_sweep" and row["parameters"]["site"] == site)
        add(f"| {site} | " + " | ".join(f"{count} nodes" for count in nodes) + f" | exponent | at {GATEWAY_NODES} |")
        add("| --- |" + " --- |" * (len(nodes) + 2))
        for label, figure in GATEWAY_FIGURES:
            values, power, design = gateway_growth(rows, site, figure)
            add(f"| {label} | " + " | ".join(f"{value:g}" for value in values) + f" | {power:.2f} | {design:.4g} |")
        worth, _, _ = gateway_growth(rows, site, "worth")
        add("| worth of the day | " + " | ".join(f"{value:g}" for value in worth) + " | | |")
        add("")


CONFIG_STEPS = [("page", "page of the store, at the reader"), ("merge", "decoding, at the reader"), ("pack", "answer to one neighbour"), ("pulled", "decoding, at a neighbour")]


def config_page(rows, add):
    routes = sorted({row["parameters"]["routes"] for row in rows if row["name"] == "config_version"})
    add("## A change of the configuration at a gateway")
    add("")
    add("Processor time of one version that changes one route, and of the first version, in milliseconds (`bench_config_versions`, on 8 arm64 cores beside other work):")
    add("")
    add("| step | " + " | ".join(f"{count:,} routes" for count in routes) + f" | first, {routes[-2]:,} routes | first, {routes[-1]:,} |")
    add("| --- |" + " --- |" * (len(routes) + 2))
    for step, label in CONFIG_STEPS:
        changed = [find(rows, "config_version", routes=count, change="one_route")[step] for count in routes]
        first = [find(rows, "config_version", routes=count, change="first")[step] for count in routes[-2:]]
        add(f"| {label} | " + " | ".join(f"{value:.2f}" for value in changed + first) + " |")
    look_up = [find(rows, "config_look_up", routes=count)["look_up"] for count in routes]
    add("| look-up of a route, microseconds | " + " | ".join(f"{value:.2f}" for value in look_up) + " | | |")
    add("")
    for count in routes[-2:]:
        row = find(rows, "config_version", routes=count, change="one_route")
        cores = CHANGES_PER_DAY / 86_400 * row["pulled"] / 1e3
        kb = row["document_bytes"] / 1e3
        add(f"At {count:,} routes ({kb:,.0f} KB) and {CHANGES_PER_DAY:,} changes a day a neighbour spends {100 * cores:.2f}% of a core (limit for all control {100 * CONTROL_CORES:.1f}%: {verdict(cores, CONTROL_CORES)}) and receives the document, {CHANGES_PER_DAY / 86_400 * kb:,.0f} KB/s before compression.")
        add("")
    for count in routes[-2:]:
        held = find(rows, "config_memory", routes=count, part="further_routes_pulled")
        peak = find(rows, "config_memory", routes=count, part="one_route_pulled")["peak"]
        add(f"At {count:,} routes a neighbour holds {held['held'] / 1e3:,.0f} KB for a version ({held['held_by_route']:.0f} bytes a route), and {peak / 1e3:,.0f} KB more while it takes the next one (`bench_config_memory`).")
        add("")
    add("The cost of a change still grows with the number of routes: each version is compared with the one before it as a whole, in one turn of the event loop.")
    add("")


GATEWAY_FIGURES = [
    ("processor, %", "processor_percent_busiest"),
    ("memory, MB", "memory_mb_busiest"),
    ("traffic, KB/s", "traffic_kb_s_busiest"),
    ("wake-ups a second", "wakeups_s_busiest"),
    ("connections", "connections_busiest"),
    ("draining in force, ms", "drain_in_force_ms_busiest"),
    ("serving after all were killed, ms", "recovery_ms_busiest"),
]


def page(f, rows):
    lines = []
    add = lines.append
    add("# Capacity at the design size")
    add("")
    add("Computed by `bench/capacity.py --write` from `bench/results`, which `bench/collect` measures on one machine of 10 cores and 32 GiB. CI checks that this page agrees with the committed results (`bench/capacity.py --check`). Timings of a fresh run differ by up to a factor of 2 with the load of the machine; counts and encoded sizes are the same for the same seed (20261204).")
    add("")
    add(f"**The size:** {NODES} nodes before 12,000 workers on 12,000 accelerators; 7,300 requests/s and 3.5 million tokens/s at the peak; for 95 in 100 first token within 0.78 s and 79 ms between tokens; 11% of generations run for minutes and go on within 3 s of a loss; {TEAMS} teams, {MODELS} models; {REGIONS} regions, {ZONES} availability zones; 76,000 changes a day, in force everywhere within 13 s; control per node at most 2.2% of a core, 256 MB and 3 KB/s; 160 instances fail and 2,500 are restarted or replaced a day, a rack or switch a week, a zone once or twice a year, a region partition for an hour now and then.")
    add("")
    add(f"**Per node:** {f['requests_node']:.1f} requests/s, {f['tokens_node']:.0f} tokens/s, about {f['streams_node']:.0f} open streams ({f['tokens_node']:.0f} tokens/s x 79 ms), of which about {f['long_streams']:.0f} belong to the 11% that run for minutes when all streams are equally fast.")
    add("")
    add("## Roles")
    add("")
    add("| role | state per node | messages | processor | memory | mechanism | command |")
    add("| --- | --- | --- | --- | --- | --- | --- |")
    add(f"| caller edge, stream holder | {f['streams_node']:.0f} streams, two threads each | none between nodes | {f['token_us']:.0f} us a token: {f['stream_cores']:.2f} cores (data path, not control) | {f['stream_bytes'] / 1e3:.0f} KB a stream: {mb(f['streams_memory'])} | signed cursor at the caller, attach at the engine | `bench/run-stream-path` |")
    add(f"| claim owner | open calls, {f['call_bytes']:.0f} B each | one inquiry and notice for a racing duplicate | {f['call_us']:.0f} us a call: {100 * f['call_cores']:.3f}% of a core at {f['call_rate'] / NODES:.1f} calls/s | below 1 MB | conditional insert, group commit | `bench_calls` |")
    add(f"| crash ledger | up to 65,536 fingerprints of {f['fingerprint_bytes']:.0f} B | one report a crash (160 a day) | none to speak of | {mb(f['ledger_memory'])} | suspicion, isolation permit in the table | `bench_crash_ledger` |")
    add(f"| membership | {NODES} x {f['node_bytes']:.0f} B | ping, ack, sync page: {f['membership_traffic']:.0f} B/s measured at 96 nodes with all 8 updates in use (slope {f['ping_slope']:.2f} B/s a node below) | part of the control loop | {mb(f['member_memory'])} | gossip failure detector, 8 updates a message | `bench_control_traffic` |")
    add(f"| team limits | {TEAMS} x {f['team_bytes']:.0f} B | reports and grants for {ACTIVE_TEAMS} active teams: {f['demand_traffic']:.0f} B/s | part of the control loop | {mb(f['team_memory'])} | grants from an owner by rendezvous hash | `bench_control_traffic` |")
    add(f"| load view, placement | {f['polled']} targets x {f['target_bytes'] / 1e3:.0f} KB | {f['poll_slope']:.1f} B/s a polled target: at most {f['poll_traffic']:.0f} B/s | {f['place_us']:.1f} us a placement: {100 * f['place_cores']:.3f}% of a core | {mb(f['view_memory'])} | subset of 32 a model, load on answers, polls of silent targets | `bench_decisions` |")
    add(f"| ticket distribution | one state of 12,377 objects | {f['ticket_traffic']:.0f} B/s at {f['tickets']:.2f} tickets/s of 1 KB | {f['fold_us']:.0f} us a ticket: {100 * f['fold_cores']:.3f}% of a core | {mb(f['state_memory'])} with the next state | announce to 3 peers, fetch, table polls | `bench_tickets` |")
    add(f"| order issuer | {f['groups']} groups (deployment and zone) over {NODES} nodes | orders to targets only | one round a second for held groups | below 1 MB | leases with fencing, reconciliation | counts above |")
    add(f"| operators' command | none | {f['submit_reads']:.1f} reads/s and {f['ticket_writes']:.2f} writes/s for 76,000 changes a day | on the operators' machine | | conditional write of the next number | `bench_tickets` |")
    add("")
    add("## Budgets of control, per node")
    add("")
    add("| budget | worked out | limit | verdict |")
    add("| --- | --- | --- | --- |")
    add(f"| processor | {100 * f['control_cores']:.2f}% of a core (idle control loop {100 * f['idle_control']:.2f}%, placements, folds, claims) | 2.2% | {verdict(f['control_cores'], CONTROL_CORES)} |")
    add(f"| memory | {mb(f['control_memory'])} (with the idle process of {mb(f['idle_bytes'])}) | 256 MB | {verdict(f['control_memory'], CONTROL_BYTES)} |")
    add(f"| traffic sent | {f['control_traffic']:.0f} B/s: membership {f['membership_traffic']:.0f}, limits {f['demand_traffic']:.0f}, polls {f['poll_traffic']:.0f}, tickets {f['ticket_traffic']:.0f} | 3,000 B/s | {verdict(f['control_traffic'], CONTROL_TRAFFIC)} |")
    add("")
    if f["control_traffic"] > CONTROL_TRAFFIC:
        add(f"The traffic does not reach the size: it is {f['control_traffic'] - CONTROL_TRAFFIC:.0f} B/s over. Two changes could lower it, neither is built or measured: fewer owners, so that one message carries several teams, with reports less often; and tickets sent in a binary encoding in place of JSON text.")
        add("")
    add("## The platform's table, whole fleet")
    add("")
    add("| use | writes/s | reads/s |")
    add("| --- | --- | --- |")
    add(f"| tickets filed | {f['ticket_writes']:.2f} | {f['submit_reads']:.1f} |")
    add(f"| nodes' polls for tickets | 0 | {f['ticket_reads']:.1f} |")
    add(f"| leases ({f['groups']} groups, every 3 s, three candidate nodes a group) | {f['lease_writes']:.0f} | {f['lease_reads']:.0f} |")
    add(f"| claims and answers of {f['call_rate']:.0f} calls/s (20% of the requests, assumed) | {f['call_writes']:.0f} | 0 |")
    add(f"| **sum** | **{f['writes']:.0f}** ({verdict(f['writes'], TABLE_WRITES)} 300, the low end of several hundred) | **{f['reads']:.0f}** ({verdict(f['reads'], TABLE_READS)} 2,000) |")
    add("")
    add(f"Group commit keeps the writes at a fixed pace, so the load shows as waiting instead: at {NODES} nodes and {f['call_rate']:.0f} calls/s a claim takes {f['claim_p50']:.0f} ms at the median (`bench_calls`), too long for a van that waits. What would help: send the calls of one team through a few nodes, so that a commit carries more rows; it is not built.")
    add("")
    add("## The letter's figures one by one")
    add("")
    add("| figure | where it stands |")
    add("| --- | --- |")
    add("| first token 0.78 s, 79 ms between tokens for 95 in 100 | `docs/placement.md`: met at 85% of the capacity for both deployments of today, with news up to 5 s old (virtual time, fake engines) |")
    add("| output goes on within 3 s of a loss | `docs/generation.md`: met at 1 death a minute and at the loss of a zone with 20 workers; missed at 10 deaths a minute on 20 workers. 160 failures a day over 12,000 workers are 0.1 a minute |")
    add(f"| 76,000 changes a day in force within 13 s | p99 {f['force_ms']:.0f} ms on all 370 nodes in virtual time without loss (`bench_tickets`); not measured with the platform slow; with it down, filing is refused and nothing changes |")
    add(f"| 160 failures and 2,500 replacements a day | each node starts from a snapshot in {f['start_ms']:.0f} ms whatever the history; a failure costs one crash report to each node |")
    add("| a rack or switch a week, a zone once or twice a year | resumes are paced by `resume_pacer`; `bench_zone_loss` and `bench_resume` hold the figures |")
    add("| regions lose each other for an hour | both sides serve; grants fall to the fixed share, claims need the table; members are kept for 2 h so that healing needs no new join |")
    add(f"| every worker is some node's candidate | {f['without_node']:.0f} of {f['subset_targets']:.0f} workers of one model are in no node's subset at 370 nodes: idle capacity of {100 * f['without_node'] / f['subset_targets']:.2f}%. A second hash for such workers would close it; it is not built |")
    add("")
    add("## One node under open streams")
    add("")
    add("| streams asked for | started through the node | tokens/s direct | p50 / p99 direct, ms | tokens/s through the node | added p50 / p99, ms | streams broken |")
    add("| --- | --- | --- | --- | --- | --- | --- |")
    for count, direct, through in f["paths"]:
        add(f"| {count} | {through['streams_started']} | {direct['tokens_per_s']:.0f} | {direct['latency_p50_ms']:.2f} / {direct['latency_p99_ms']:.1f} | {through['tokens_per_s']:.0f} | {through['added_latency_p50_ms']:.2f} / {through['added_latency_p99_ms']:.1f} | {through['streams_broken']} |")
    add("")
    add("Node, engine emulator and readers share one machine in this run, so these figures are a lower bound of what a node alone carries.")
    add("")
    gateway_page(rows, add)
    config_page(rows, add)
    return "\n".join(lines)


def main(arguments):
    directory = ROOT / "bench" / "results"
    if "--results" in arguments:
        directory = arguments[arguments.index("--results") + 1]
    rows = load(directory)
    text = page(compute(rows), rows)
    if "--write" in arguments:
        PAGE.write_text(text)
    elif "--check" in arguments:
        if PAGE.read_text() != text:
            raise SystemExit("docs/CAPACITY.md differs from bench/results: run bench/capacity.py --write")
        print("capacity page agrees with the committed results")
    elif "--print" in arguments:
        print(text)
    else:
        raise SystemExit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
