"""Stand-ins for the platform's store and servers, for tests on loopback."""

import asyncio
import base64
import contextlib
import json
import socket
import time
from typing import Protocol
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from medlar_node.relay.http import Request
from medlar_node.relay.http import Response
from medlar_platform.header import HeaderCodec

HEADER_BYTES = 31
SYN, ACK, BOUNCED = 4, 8, 1
COLD_OVERAGE = 1.5
COLD_SLACK = 5


class StoreStandin:
    """In-memory store with revisions, watches and expiring leases."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[str, int, int]] = {}
        self.deleted: dict[str, int] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        """Duration and end of each lease in seconds, by lease number."""
        self._changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int = 0) -> None:
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.deleted.pop(key, None)
        self._notify()

    def remove(self, key: str) -> None:
        if self.items.pop(key, None):
            self.revision += 1
            self.deleted[key] = self.revision
            self._notify()

    def expire(self, now: float) -> None:
        """Remove expired leases and the items attached to them."""
        expired = {
            n for n, (_, ends_at) in self.leases.items() if ends_at < now
        }
        for number in expired:
            del self.leases[number]
        for key, (_, _, lease) in list(self.items.items()):
            if lease in expired:
                self.remove(key)

    async def answer(self, req: Request) -> Response:
        parts = urlsplit(req.target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        match (req.method, parts.path.split("/")[2]):
            case ("GET", "kv-key"):
                if query["key"] not in self.items:
                    return Response(404)
                return _json(self._item(query["key"]))
            case ("GET", "kv-range"):
                items = self._items_under(query["prefix"], 0)
                return _json({"items": items, "as_of": self.revision})
            case ("GET", "kv-watch"):
                return await self._watch(query)
            case ("POST", "kv-txn"):
                return self._txn(json.loads(req.body))
            case ("POST", "kv-lease"):
                return self._lease(json.loads(req.body)["ttl_ms"])
            case ("POST", "kv-keep"):
                return self._keep(int(parts.path.rpartition("/")[2]))
        return Response(404)

    def _lease(self, ttl_ms: int) -> Response:
        number = len(self.leases) + self.revision * 1_000
        duration_s = ttl_ms / 1_000
        self.leases[number] = (duration_s, time.monotonic() + duration_s)
        return _json({"lease": number, "ttl_ms": ttl_ms})

    def _keep(self, number: int) -> Response:
        if number not in self.leases:
            return Response(404)
        duration_s, _ = self.leases[number]
        self.leases[number] = (duration_s, time.monotonic() + duration_s)
        return _json({"ttl_ms": int(duration_s * 1_000)})

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        limit_s = int(query["wait_ms"]) / 1_000
        if not self._events(query["prefix"], after):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), limit_s)
        events = self._events(query["prefix"], after)
        return _json({"events": events, "as_of": self.revision})

    def _txn(self, txn) -> Response:
        for row in txn["expected_revision"]:
            _, actual, _ = self.items.get(row["key"], ("", 0, 0))
            if actual != row["revision"]:
                items = [self._item(row["key"])] if actual else []
                return _json({"items": items}, 412)
        for row in txn["set_keys"]:
            if row["lease"] and row["lease"] not in self.leases:
                return Response(404)
            value = base64.b64decode(row["value"]).decode()
            self.put(row["key"], value, row["lease"])
        for key in txn["remove"]:
            self.remove(key)
        return _json({"revision": self.revision})

    def _item(self, key: str):
        value, revision, lease = self.items[key]
        encoded = base64.b64encode(value.encode()).decode()
        return {
            "key": key,
            "value": encoded,
            "revision": revision,
            "lease": lease,
        }

    def _items_under(self, prefix: str, after: int):
        return [
            self._item(key)
            for key, (_, revision, _) in self.items.items()
            if key.startswith(prefix) and revision > after
        ]

    def _events(self, prefix: str, after: int):
        deletions = [
            {"key": key, "revision": revision, "is_deleted": True}
            for key, revision in self.deleted.items()
            if key.startswith(prefix) and revision > after
        ]
        return self._items_under(prefix, after) + deletions

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class ServerStandin:
    """Server that accepts SYNs, answers data and bounces unknown flows."""

    def __init__(self, app: str, outbound: tuple[str, int]) -> None:
        host, _, port = app.rpartition(":")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, int(port)))
        self.sock.setblocking(False)
        self.flows: set[tuple[int, int]] = set()
        self._outbound = outbound

    def read(self) -> None:
        data = self.sock.recv(2_048)
        segment = HeaderCodec().decode(data)
        flow = tuple(segment.inward)
        if segment.flags & 1:
            self.flows.add(flow)
            self._send(segment, SYN | ACK, b"")
        elif flow not in self.flows:
            bounced = data[:4] + bytes([data[4] | BOUNCED]) + data[5:]
            self.sock.sendto(bounced, self._outbound)
        elif segment.size:
            self._send(segment, ACK, b"answer")

    def _send(self, segment, flags: int, payload: bytes) -> None:
        self.sock.sendto(
            packet(segment.dst, segment.src, flags, payload), self._outbound
        )


class PortNumbers(Protocol):
    """Ports at which a process listens on its own address."""

    peers: int
    packets: int
    ready: int
    control: int
    outbound: int


def settings(
    name: str,
    ip: str,
    serves: str,
    service: str,
    app: str,
    store: str,
    ports: PortNumbers,
    beat_ms: int,
    zone: str = "z",
    contracts: tuple[str, ...] = (),
) -> str:
    """Return the text of a process's settings file."""
    return f"""
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
contracts = {json.dumps(contracts)}
serves = ["{serves}"]
internal_port_range = [{ports.peers}, {ports.peers + 5}]
heartbeat_interval_ms = {beat_ms}
app = "{app}"
service = "{service}"
[listen]
datagram_address = "{ip}:{ports.packets}"
readiness_address = "{ip}:{ports.ready}"
control = "{ip}:{ports.control}"
outbound = "{ip}:{ports.outbound}"
[bounds]
grace_period_s = 6
cold_overage = {COLD_OVERAGE}
cold_slack = {COLD_SLACK}
[platform]
address = "{store}"
"""


def packet(
    src: int,
    dst: int,
    flags: int,
    payload: bytes = b"",
    seq: int = 100,
    ack: int = 0,
) -> bytes:
    """Return a packet between two endpoints; its checksum is arbitrary."""
    parts = (
        (0, 4),
        (flags, 1),
        (77, 4),
        (len(payload), 2),
        (dst >> 16, 4),
        (src & 0xFFFF, 2),
        (src >> 16, 4),
        (dst & 0xFFFF, 2),
        (seq, 4),
        (ack, 4),
    )
    return b"".join(n.to_bytes(w, "big") for n, w in parts) + payload


def _json(body, status: int = 200) -> Response:
    return Response(status, json.dumps(body).encode())
