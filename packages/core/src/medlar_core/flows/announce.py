"""Announces displaced flows to bucket owners and to balancers."""

import collections
from collections.abc import Set

import msgspec

from ..effects import Send
from ..ids import FlowKey
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .limits import BATCH_BYTES
from .limits import BURST_BYTES
from .limits import BYTES_PER_S
from .limits import HINT_INTERVAL_S
from .limits import KEYS_PER_BATCH
from .limits import RETRANSMIT_S
from .messages import Ended
from .messages import Hint
from .messages import Located
from .rate_limiter import RateLimiter
from .wire import pack_keys
from .wire import pack_short_keys
from .wire import short_key


class _Batch(msgspec.Struct):
    """A message that has not been acknowledged yet."""

    dst: NodeId
    msg: Located | Hint
    sent_at: float


class Announcer:
    """Queues announcements of displaced flows and limits their byte rate.

    Each flow is announced to the owner of its bucket, in batches that are
    retransmitted until acknowledged, and once to the balancers as a hint.
    """

    def __init__(self, node: NodeId, incarnation: Incarnation) -> None:
        self._node = node
        self._incarnation = incarnation
        self._limiter = RateLimiter(BYTES_PER_S, BURST_BYTES)
        self._last_batch = 0
        self._unacked: dict[int, _Batch] = {}
        self._located: dict[NodeId, dict[FlowKey, None]] = {}
        self._ended: dict[NodeId, dict[FlowKey, None]] = {}
        self._next_hint_at = 0.0
        self._short_keys: collections.deque[tuple[ServiceName, int]] = (
            collections.deque()
        )

    @property
    def idle(self) -> bool:
        """Whether every announcement has been sent and acknowledged."""
        return not (
            self._unacked or self._located or self._ended or self._short_keys
        )

    def announce(self, owner: NodeId, key: FlowKey) -> None:
        """Queue an announcement to an owner that a flow is held here."""
        self._located.setdefault(owner, {})[key] = None

    def announce_end(self, owner: NodeId, key: FlowKey) -> None:
        """Queue a message to an owner that a flow is no longer held here.

        If the flow's announcement is still queued, it is removed instead.
        """
        queued = self._located.get(owner, {})
        if key in queued:
            del queued[key]
            return
        self._ended.setdefault(owner, {})[key] = None

    def add_hint(self, service: ServiceName, key: FlowKey) -> None:
        """Queue a hint for the balancers about a flow to a service."""
        self._short_keys.append((service, short_key(key)))

    def acked(self, batch: int, incarnation: Incarnation) -> None:
        """Record the acknowledgement of a batch of this incarnation."""
        if incarnation == self._incarnation:
            self._unacked.pop(batch, None)

    def due(
        self,
        now: Seconds,
        owners: Set[NodeId],
        balancers: tuple[NodeId, ...],
    ) -> list[Send]:
        """Return the messages to send now.

        ``owners`` are the live members. Announcements to other agents are
        dropped, because these flows are announced again to the next owner.
        """
        for node in self._located.keys() - owners:
            del self._located[node]
        for node in self._ended.keys() - owners:
            del self._ended[node]
        sends: list[Send] = []
        while self._limiter.available(now) > 0.0:
            send = self._next(now, owners, balancers)
            if send is None:
                break
            self._limiter.consume(
                BATCH_BYTES + _payload_bytes(send.msg) * 4 / 3
            )
            sends.append(send)
        return sends

    def _next(
        self,
        now: Seconds,
        owners: Set[NodeId],
        balancers: tuple[NodeId, ...],
    ) -> Send | None:
        return (
            self._next_hint(now, balancers)
            or self._next_retransmission(now, owners, balancers)
            or self._next_located(now)
            or self._next_ended()
        )

    def _next_retransmission(
        self,
        now: Seconds,
        owners: Set[NodeId],
        balancers: tuple[NodeId, ...],
    ) -> Send | None:
        for batch_number, batch in list(self._unacked.items()):
            if now - batch.sent_at < RETRANSMIT_S:
                break
            del self._unacked[batch_number]
            if isinstance(batch.msg, Hint):
                if balancers:
                    hint = batch.msg
                    return self._send_hint(
                        now, hint.service, hint.marks, balancers
                    )
            elif batch.dst in owners:
                batch.sent_at = now
                self._unacked[batch_number] = batch
                return Send(batch.dst, batch.msg)
        return None

    def _next_located(self, now: Seconds) -> Send | None:
        for owner, queued in list(self._located.items()):
            keys = _pop_batch(queued)
            if not queued:
                del self._located[owner]
            if not keys:
                continue
            self._last_batch += 1
            msg = Located(self._last_batch, self._incarnation, pack_keys(keys))
            self._unacked[self._last_batch] = _Batch(owner, msg, now)
            return Send(owner, msg)
        return None

    def _next_ended(self) -> Send | None:
        for owner, queued in list(self._ended.items()):
            keys = _pop_batch(queued)
            if not queued:
                del self._ended[owner]
            return Send(owner, Ended(pack_keys(keys)))
        return None

    def _next_hint(
        self, now: Seconds, balancers: tuple[NodeId, ...]
    ) -> Send | None:
        partial = len(self._short_keys) < KEYS_PER_BATCH
        if (
            not self._short_keys
            or not balancers
            or (partial and now < self._next_hint_at)
        ):
            return None
        self._next_hint_at = now + HINT_INTERVAL_S
        service = self._short_keys[0][0]
        short_keys: list[int] = []
        while self._short_keys and self._short_keys[0][0] == service:
            if len(short_keys) == KEYS_PER_BATCH * 2:
                break
            short_keys.append(self._short_keys.popleft()[1])
        return self._send_hint(
            now, service, pack_short_keys(short_keys), balancers
        )

    def _send_hint(
        self,
        now: Seconds,
        service: ServiceName,
        short_keys: bytes,
        balancers: tuple[NodeId, ...],
    ) -> Send:
        self._last_batch += 1
        batch_number = self._last_batch
        seed = (batch_number * 0x9E3779B1 + self._incarnation) & 0xFFFFFFFF
        root = balancers[seed % len(balancers)]
        msg = Hint(
            self._node,
            self._incarnation,
            batch_number,
            root,
            service,
            short_keys,
        )
        self._unacked[batch_number] = _Batch(root, msg, now)
        return Send(root, msg)


def _pop_batch(queued: dict[FlowKey, None]) -> list[FlowKey]:
    """Remove the oldest keys from a queue, as many as fit one message."""
    keys = [key for key, _ in zip(queued, range(KEYS_PER_BATCH), strict=False)]
    for key in keys:
        del queued[key]
    return keys


def _payload_bytes(msg: Located | Hint | Ended) -> int:
    return len(msg.marks) if isinstance(msg, Hint) else len(msg.keys)
