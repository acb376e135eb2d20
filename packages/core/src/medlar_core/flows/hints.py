"""Hints of a balancer about flows that are not held by their owner."""

import random

import msgspec

from ..effects import Effect
from ..effects import Send
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .limits import DIRECTORY_LIFETIME_S
from .limits import HINT_FANOUT
from .limits import HINT_PARTS_MIN
from .limits import HINT_QUERY_INTERVAL_S
from .limits import HINT_TRIES
from .limits import HINTS_LIMIT
from .limits import PEERS_PER_PART
from .limits import RETRANSMIT_S
from .limits import SEEN_BATCHES_LIMIT
from .messages import Hint
from .messages import HintAck
from .messages import HintsAsked
from .messages import HintSlice
from .wire import pack_short_keys
from .wire import unpack_short_keys


class _PendingRelay(msgspec.Struct):
    """A batch sent to another balancer and not acknowledged yet.

    ``position`` is the position of that balancer in the batch's tree.
    """

    position: int
    msg: Hint
    sent_at: float
    tries: int = 1


class HintCache:
    """Holders of displaced flows by short key.

    The entries are only hints: a wrong one costs a packet one more hop.
    Entries that are not received again within an expiry period are
    removed. Batches are distributed along a tree of balancers, each hop
    acknowledged.
    """

    def __init__(self, node: NodeId, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._count = 0
        self._holders: dict[ServiceName, dict[int, NodeId]] = {}
        self._refreshed: dict[ServiceName, set[int]] = {}
        self._next_expiry_at = 0.0
        self._seen: dict[tuple[NodeId, Incarnation, int], None] = {}
        self._relays: dict[tuple[NodeId, NodeId, int], _PendingRelay] = {}
        self._balancers: tuple[NodeId, ...] = ()
        self._interned: dict[NodeId, NodeId] = {}
        self._missing_parts: list[int] | None = None
        self._parts = 0
        self._next_query_at = 0.0

    def __len__(self) -> int:
        return self._count

    def holders_for(self, service: ServiceName) -> dict[int, NodeId]:
        """Return the live dict from short key to holder for a service."""
        return self._holders.setdefault(service, {})

    def apply_view(
        self, balancers: tuple[NodeId, ...], servers: set[NodeId]
    ) -> None:
        """Set the live members and remove hints of removed servers."""
        self._balancers = balancers
        if self._missing_parts is None and len(balancers) > 1:
            self._parts = max(HINT_PARTS_MIN, len(balancers) // PEERS_PER_PART)
            self._missing_parts = list(range(self._parts))
        removed = self._interned.keys() - servers
        if not removed:
            return
        for node in removed:
            del self._interned[node]
        for short_keys in self._holders.values():
            for found in [k for k, i in short_keys.items() if i in removed]:
                del short_keys[found]
        self._recount()

    def handle_hint(
        self, now: Seconds, src: NodeId, msg: Hint
    ) -> list[Effect]:
        """Add a batch, acknowledge it and relay it if it is new."""
        ack = HintAck(msg.holder, msg.incarnation, msg.batch)
        effects: list[Effect] = [Send(src, ack)]
        batch_id = (msg.holder, msg.incarnation, msg.batch)
        if batch_id in self._seen:
            return effects
        if len(self._seen) >= SEEN_BATCHES_LIMIT:
            del self._seen[next(iter(self._seen))]
        self._seen[batch_id] = None
        self._add(msg.service, unpack_short_keys(msg.marks), msg.holder)
        position = self._position(msg)
        return effects + self._relay(now, msg, position)

    def acked(self, src: NodeId, msg: HintAck) -> None:
        """Record that a balancer has received a batch."""
        self._relays.pop((src, msg.holder, msg.batch), None)

    def make_slice(self, msg: HintsAsked) -> HintSlice:
        """Return the slice of hints that a new balancer requests."""
        parts = max(1, msg.parts)
        rows = [
            (found, holder, service)
            for service, short_keys in self._holders.items()
            for found, holder in short_keys.items()
            if found % parts == msg.part
        ]
        pairs = sorted({(holder, service) for _, holder, service in rows})
        numbers = {pair: number for number, pair in enumerate(pairs)}
        return HintSlice(
            part=msg.part,
            parts=parts,
            holders=tuple(holder for holder, _ in pairs),
            services=tuple(service for _, service in pairs),
            marks=pack_short_keys([found for found, _, _ in rows]),
            numbers=pack_short_keys([numbers[h, s] for _, h, s in rows]),
        )

    def apply_slice(self, msg: HintSlice) -> None:
        """Add the hints of a slice; entries that exist already are newer."""
        numbers = unpack_short_keys(msg.numbers)
        pairs = list(zip(msg.holders, msg.services, strict=False))
        for found, number in zip(
            unpack_short_keys(msg.marks), numbers, strict=False
        ):
            if number >= len(pairs):
                continue
            holder, service = pairs[number]
            if found not in self.holders_for(service):
                self._add(service, [found], holder)
        missing = self._missing_parts or []
        if msg.parts == self._parts and msg.part in missing:
            missing.remove(msg.part)

    def due(self, now: Seconds) -> list[Effect]:
        """Return the retransmissions and slice requests to send now."""
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + DIRECTORY_LIFETIME_S / 2
            self._remove_stale()
        effects = self._retransmit(now)
        if self._missing_parts and now >= self._next_query_at:
            effects += self._query_peer(now, self._missing_parts)
        return effects

    def _add(
        self, service: ServiceName, short_keys: list[int], holder: NodeId
    ) -> None:
        holder = self._interned.setdefault(holder, holder)
        known = self.holders_for(service)
        before = len(known)
        room = max(0, HINTS_LIMIT - self._count)
        known.update(dict.fromkeys(short_keys[:room], holder))
        self._refreshed.setdefault(service, set()).update(short_keys[:room])
        self._count += len(known) - before

    def _remove_stale(self) -> None:
        """Remove short keys not received since the last expiry."""
        for service, short_keys in self._holders.items():
            kept = self._refreshed.get(service, set())
            for found in [k for k in short_keys if k not in kept]:
                del short_keys[found]
        self._refreshed = {}
        self._recount()

    def _recount(self) -> None:
        self._count = sum(
            len(short_keys) for short_keys in self._holders.values()
        )

    def _position(self, msg: Hint) -> int:
        """Return this balancer's position in the tree of a batch."""
        balancers = self._balancers
        if self._node not in balancers or msg.root not in balancers:
            return len(balancers)
        return (balancers.index(self._node) - balancers.index(msg.root)) % len(
            balancers
        )

    def _relay(self, now: Seconds, msg: Hint, position: int) -> list[Effect]:
        balancers = self._balancers
        effects: list[Effect] = []
        first = position * HINT_FANOUT + 1
        for child in range(first, min(first + HINT_FANOUT, len(balancers))):
            node = balancers[
                (balancers.index(msg.root) + child) % len(balancers)
            ]
            self._relays[node, msg.holder, msg.batch] = _PendingRelay(
                child, msg, now
            )
            effects.append(Send(node, msg))
        return effects

    def _retransmit(self, now: Seconds) -> list[Effect]:
        """Retransmit unacknowledged batches.

        After the last try, or if the balancer is no longer a member, send the
        batch to its children in the tree directly.
        """
        effects: list[Effect] = []
        for batch_id, relay in list(self._relays.items()):
            if now - relay.sent_at < RETRANSMIT_S:
                continue
            if relay.tries < HINT_TRIES and batch_id[0] in self._balancers:
                relay.tries += 1
                relay.sent_at = now
                effects.append(Send(batch_id[0], relay.msg))
                continue
            del self._relays[batch_id]
            if relay.msg.root in self._balancers:
                effects += self._relay(now, relay.msg, relay.position)
        return effects

    def _query_peer(self, now: Seconds, missing: list[int]) -> list[Effect]:
        peers = [i for i in self._balancers if i != self._node]
        self._next_query_at = now + HINT_QUERY_INTERVAL_S
        if not peers:
            return []
        missing.append(missing.pop(0))
        asked = HintsAsked(missing[-1], self._parts)
        return [Send(self._rng.choice(peers), asked)]
