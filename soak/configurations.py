"""The operator's configurations, and what nodes may do by them."""

import asyncio
import json
import random
import time

APPLY_S = 4.0  # the default of configuration_bound_ms
ROLLBACK_S = 0.25  # by the platform's rules, like the factor for slowed nodes
SLOWED_FACTOR = 8
SHORTEST_TIMEOUT_S = 2.3


class Version:
    """One version: when it was sent and confirmed, and the services of each added route and the keys that it has."""

    def __init__(self, document):
        self.document = json.loads(json.dumps(document))
        self.sent = time.monotonic()
        self.confirmed = float("inf")  # the last time, if the store lost it
        self.has = {route["name"]: {route["service"]} for route in document["routes"]}
        self.has.update({f"key {key}": {"taken"} for key in document["tenants"][0]["apiKeys"]})

    def allows(self, name, outcome):
        """Tells whether a request may end so: with the service that ran it, "taken" for a key, None if denied."""
        return outcome in self.has.get(name, {None})


class Operator:
    """Writes configurations, one at a time, and judges what callers saw against them."""

    def __init__(self, store, config, seed):
        self.store, self.config = store, config
        self.random = random.Random(f"operator-{seed}")
        self.versions = []
        self.seen = []  # (end, sent, node, its incarnation, name, outcome, attempt)
        self.added = []  # names of routes, dropped ones too
        self.lock = asyncio.Lock()

    async def write(self):
        """Writes the configuration as it stands, once the store can be reached."""
        async with self.lock:
            self.config["version"] += self.random.randint(1, 5)
            version = Version(self.config)
            self.versions.append(version)
            await self._put(version)

    async def _put(self, version):
        while self.store.away:
            await asyncio.sleep(0.02)
        self.store.put("op", "config", version.document)
        version.confirmed = time.monotonic()

    async def write_again(self, lost_since):
        """Writes the newest confirmed version once more after the store has forgotten all since some moment."""
        async with self.lock:
            await self._put(self.versions[-1])
            for version in self.versions:
                if version.confirmed > lost_since:
                    version.confirmed = self.versions[-1].confirmed

    def change_beside(self, sent, end):
        """Returns "a change" if a request that has used little of its time was under way beside one, else ""."""
        beside = any(version.sent <= end and sent <= version.confirmed + APPLY_S + 1 for version in self.versions[1:])
        return "a change" if beside and end <= sent + 0.7 * SHORTEST_TIMEOUT_S else ""

    async def change_series(self):
        """Some changes in a row: routes come, go and move; times, attempts and limits of callers change."""
        for _ in range(self.random.randint(1, 4)):
            for _ in range(self.random.randint(1, 2)):
                self.random.choice([self._add, self._add, self._drop, self._move, self._change_times,
                                    self._change_limits])()
            await self.write()
            await asyncio.sleep(self.random.choice([0, 0.1, 1]) * self.random.random())

    def _live(self):
        return [route for route in self.config["routes"] if route["name"] in self.added]

    def _add(self):
        if len(self._live()) >= 6:
            return self._drop()
        name = f"added{len(self.added)}"
        self.added.append(name)
        self.config["routes"].append({
            "name": name, "host": "soak.example", "pathPrefix": f"/{name}/", "routeKind": "safe", "timeoutMs": 2500,
            "goalMs": 500, "service": self.random.choice(["plain", "other"]), "maxAttempts": 3})

    def _drop(self):
        if self._live():
            self.config["routes"].remove(self.random.choice(self._live()))

    def _move(self):
        if self._live():
            route = self.random.choice(self._live())
            route["service"] = "other" if route["service"] == "plain" else "plain"

    def _change_times(self):
        route = self.random.choice(self.config["routes"])
        route["timeoutMs"] = self.random.choice([int(1000 * SHORTEST_TIMEOUT_S), 2500, 2900])
        route["maxAttempts"] = self.random.randint(1 if route["routeKind"] == "unsafe" else 2, 4)

    def _change_limits(self):
        # All callers keep within the lowest of these, and use connections that were idle for less than the last one.
        self.config["limits"] = {
            "maxHeaderBytes": self.random.choice([1000, 16384]), "maxBodyBytes": self.random.choice([100, 65536]),
            "headerTimeoutMs": self.random.choice([700, 3000]), "idleTimeoutMs": self.random.choice([800, 2000, 15000])}

    def name_to_probe(self):
        """Returns a route that was added, moved or dropped of late, or a key that was withdrawn."""
        keys = {name for version in self.versions for name in version.has if name.startswith("key ")}
        withdrawn = sorted(keys - set(self.versions[-1].has))[-2:]
        return self.random.choice(self.added[-8:] + withdrawn + ["safe"])

    def judge(self, nodes, store, contact, fail):
        """A confirmed version is in force in time at undisturbed nodes, and no process goes back to an older one."""
        known = {}  # (node, incarnation) -> [(when, number of a version that this process has had)]
        for end, sent, index, incarnation, name, outcome, attempt in sorted(self.seen, key=lambda entry: entry[:2]):
            node = nodes[index]
            allowed = [number for number, version in enumerate(self.versions)
                       if version.sent <= end and version.allows(name, outcome)]
            what = f"{name} ended with {outcome} at node {index}, {sent - self.versions[0].sent:.2f} s in: {attempt}"
            if not allowed:
                fail(what, "no configuration allows it")
                continue
            due = max((number for number, version in enumerate(self.versions) if version.confirmed + APPLY_S < sent),
                      default=0)
            if allowed[-1] < due and not node.was_out_of_touch(sent - contact, end) \
                    and not store.was_disturbed(sent - contact, end):
                fail(what, f"only a version older than the confirmed number {due} allows it")
            history = known.setdefault((index, incarnation), [(0, 0)])
            slack = ROLLBACK_S * (SLOWED_FACTOR if node.was_out_of_touch(sent - contact, end) else 1)
            since, floor = max(((when, number) for when, number in history if when + slack < sent),
                               key=lambda entry: entry[1], default=(0, 0))
            if allowed[-1] < floor:
                fail(what, f"a process went back behind version number {floor}, which it has had for {sent - since:.2f} s")
            floor = max((number for when, number in history if when <= sent), default=0)
            later = next((number for number in allowed if number >= floor), floor)
            if later > floor:
                history.append((end, later))
