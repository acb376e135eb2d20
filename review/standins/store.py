"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

PAGE_ITEMS = 500


class Store:
    """Keeps items, leases and the whole history, in memory."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._leases: dict[int, tuple[float, float]] = {}
        """End and length in seconds of each lease."""
        self._next_lease = 77_000
        self._changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write an item, as the operator does under ``op/``."""
        self.revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "create_revision": (old or {}).get(
                "create_revision", self.revision
            ),
            "lease": lease,
        }
        self._items[key] = item
        self._note(item)

    async def respond(self, method: str, target: str, body: bytes):
        """Answer one call."""
        self._expire()
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        status, answer = await self._answer(method, url.path, query, body)
        return status, json.dumps(answer).encode()

    async def _answer(self, method, path, query, body):
        name = path.removeprefix("/-/")
        if (method, name) == ("GET", "kv-key"):
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item, "as_of": self.revision}
        if (method, name) == ("GET", "kv-range"):
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "as_of": self.revision,
            }
        if (method, name) == ("GET", "kv-watch"):
            return await self._watch(query)
        if (method, name) == ("POST", "kv-txn"):
            return self._txn(json.loads(body))
        if (method, name) == ("POST", "kv-lease"):
            ttl_ms = json.loads(body)["ttl_ms"]
            self._next_lease += 1
            until = time.monotonic() + ttl_ms / 1_000
            self._leases[self._next_lease] = (until, ttl_ms / 1_000)
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        verb, _, lease = name.partition("/")
        if (method, verb) == ("POST", "kv-keep"):
            if int(lease) not in self._leases:
                return 404, {}
            ttl_s = self._leases[int(lease)][1]
            self._leases[int(lease)] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1_000)}
        if (method, verb) == ("DELETE", "kv-lease-end"):
            self._end_lease(int(lease))
            return 200, {}
        return 400, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1_000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.5))
            except TimeoutError:
                self._expire()

    def _txn(self, txn):
        keys = [row["key"] for row in txn["expected_revision"]]
        for row in txn["expected_revision"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                found = [self._items[k] for k in keys if k in self._items]
                return 412, {"items": found}
        for row in txn["set_keys"]:
            if row["lease"] and row["lease"] not in self._leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in txn["set_keys"]:
            value = base64.b64decode(row["value"]).decode()
            self.put(row["key"], value, row["lease"])
        for key in txn["remove"]:
            self._remove(key)
        return 200, {"revision": self.revision}

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "is_deleted": True}
            )

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self._remove(key)

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (until, _) in list(self._leases.items()):
            if until < now:
                self._end_lease(lease)

    def _note(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()
