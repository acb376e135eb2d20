"""Tells owners and balancers of flows that stay where they are."""

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
from .limits import HINT_GAP_S
from .limits import KEYS_PER_BATCH
from .limits import RETRY_S
from .messages import Ended
from .messages import Hint
from .messages import Located
from .meter import Meter
from .wire import mark
from .wire import pack_keys
from .wire import pack_marks


class _Batch(msgspec.Struct):
    """A message that waits for its acknowledgement."""

    dst: NodeId
    msg: Located | Hint
    sent_at: float


class Announcer:
    """Queues news of displaced flows and sends it within a byte rate.

    Each flow is told to the owner of its bucket, in batches that are
    repeated until acknowledged, and once to the balancers as a hint.
    """

    def __init__(self, node: NodeId, incarnation: Incarnation) -> None:
        self._node = node
        self._incarnation = incarnation
        self._meter = Meter(BYTES_PER_S, BURST_BYTES)
        self._batches = 0
        self._waiting: dict[int, _Batch] = {}
        self._located: dict[NodeId, dict[FlowKey, None]] = {}
        self._ended: dict[NodeId, dict[FlowKey, None]] = {}
        self._hint_at = 0.0
        self._marks: collections.deque[tuple[ServiceName, int]] = (
            collections.deque()
        )

    @property
    def idle(self) -> bool:
        """Whether all news was sent and acknowledged."""
        return not (
            self._waiting or self._located or self._ended or self._marks
        )

    def tell(self, owner: NodeId, key: FlowKey) -> None:
        """Queue the news that a flow is held here."""
        self._located.setdefault(owner, {})[key] = None

    def tell_end(self, owner: NodeId, key: FlowKey) -> None:
        """Queue the news that a flow is held here no more."""
        queued = self._located.get(owner, {})
        if key in queued:
            del queued[key]
            return
        self._ended.setdefault(owner, {})[key] = None

    def hint(self, service: ServiceName, key: FlowKey) -> None:
        """Queue a hint on a flow to a service for the balancers."""
        self._marks.append((service, mark(key)))

    def acked(self, batch: int, incarnation: Incarnation) -> None:
        """Note that a batch arrived."""
        if incarnation == self._incarnation:
            self._waiting.pop(batch, None)

    def due(
        self,
        now: Seconds,
        owners: Set[NodeId],
        balancers: tuple[NodeId, ...],
    ) -> list[Send]:
        """Return the messages to send now.

        ``owners`` are live members: news for others is dropped, because
        the flows are told again to the next owner.
        """
        for node in self._located.keys() - owners:
            del self._located[node]
        for node in self._ended.keys() - owners:
            del self._ended[node]
        sends: list[Send] = []
        while self._meter.left(now) > 0.0:
            send = self._next(now, owners, balancers)
            if send is None:
                break
            self._meter.spend(BATCH_BYTES + _payload(send.msg) * 4 / 3)
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
            or self._repeat(now, owners, balancers)
            or self._next_located(now)
            or self._next_ended()
        )

    def _repeat(
        self,
        now: Seconds,
        owners: Set[NodeId],
        balancers: tuple[NodeId, ...],
    ) -> Send | None:
        for number, batch in list(self._waiting.items()):
            if now - batch.sent_at < RETRY_S:
                break
            del self._waiting[number]
            if isinstance(batch.msg, Hint):
                if balancers:
                    again = batch.msg
                    return self._send_hint(
                        now, again.service, again.marks, balancers
                    )
            elif batch.dst in owners:
                batch.sent_at = now
                self._waiting[number] = batch
                return Send(batch.dst, batch.msg)
        return None

    def _next_located(self, now: Seconds) -> Send | None:
        for owner, queued in list(self._located.items()):
            keys = _take(queued)
            if not queued:
                del self._located[owner]
            if not keys:
                continue
            self._batches += 1
            msg = Located(self._batches, self._incarnation, pack_keys(keys))
            self._waiting[self._batches] = _Batch(owner, msg, now)
            return Send(owner, msg)
        return None

    def _next_ended(self) -> Send | None:
        for owner, queued in list(self._ended.items()):
            keys = _take(queued)
            if not queued:
                del self._ended[owner]
            return Send(owner, Ended(pack_keys(keys)))
        return None

    def _next_hint(
        self, now: Seconds, balancers: tuple[NodeId, ...]
    ) -> Send | None:
        few = len(self._marks) < KEYS_PER_BATCH
        if not self._marks or not balancers or (few and now < self._hint_at):
            return None
        self._hint_at = now + HINT_GAP_S
        service = self._marks[0][0]
        marks: list[int] = []
        while self._marks and self._marks[0][0] == service:
            if len(marks) == KEYS_PER_BATCH * 2:
                break
            marks.append(self._marks.popleft()[1])
        return self._send_hint(now, service, pack_marks(marks), balancers)

    def _send_hint(
        self,
        now: Seconds,
        service: ServiceName,
        marks: bytes,
        balancers: tuple[NodeId, ...],
    ) -> Send:
        self._batches += 1
        number = self._batches
        seed = (number * 0x9E3779B1 + self._incarnation) & 0xFFFFFFFF
        root = balancers[seed % len(balancers)]
        msg = Hint(self._node, self._incarnation, number, root, service, marks)
        self._waiting[number] = _Batch(root, msg, now)
        return Send(root, msg)


def _take(queued: dict[FlowKey, None]) -> list[FlowKey]:
    """Take the oldest keys out of a queue, as many as fit a message."""
    keys = [key for key, _ in zip(queued, range(KEYS_PER_BATCH), strict=False)]
    for key in keys:
        del queued[key]
    return keys


def _payload(msg: Located | Hint | Ended) -> int:
    return len(msg.marks) if isinstance(msg, Hint) else len(msg.keys)
