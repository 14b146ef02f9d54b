"""The operator's configurations."""

import asyncio
import json
import random
import time

APPLY_S = 4.0  # the default of configuration_bound_ms
SHORTEST_TIMEOUT_S = 2.3


class Version:
    """One version: when it was sent and confirmed."""

    def __init__(self, document):
        self.document = json.loads(json.dumps(document))
        self.sent = time.monotonic()
        self.confirmed = float("inf")


class Operator:
    """Writes configurations, one at a time."""

    def __init__(self, store, config, seed):
        self.store, self.config = store, config
        self.random = random.Random(f"operator-{seed}")
        self.versions = []
        self.added = []  # names of routes, dropped ones too
        self.lock = asyncio.Lock()

    async def write(self):
        """Writes the configuration as it stands."""
        async with self.lock:
            self.config["version"] += self.random.randint(1, 5)
            version = Version(self.config)
            self.versions.append(version)
            self.store.put("op", "config", version.document)
            version.confirmed = time.monotonic()

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
