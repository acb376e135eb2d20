"""Heartbeats and announcements of a process to its watchers."""

from collections.abc import Container
from collections.abc import Iterable
import random

import msgspec

from ..effects import Send
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from .messages import Ack
from .messages import Announce
from .messages import Beat
from .record import id_hash
from .record import Record
from .view import ServerState

HEARTBEAT_S = 2.0
"""Interval of heartbeats to one watcher; two watchers are half of it apart."""
ACK_REQUEST_S = 5.5
"""An ack is requested if the last one is older than this."""
RETRANSMIT_S = 0.2
"""First delay before an announcement without an ack is retransmitted."""
ISOLATED_S = 6.5
"""A process without acks for this long searches for other watchers."""
SEARCH_S = 0.5
PEERS = 8
UNACKED_SEQ = -1
SEEDS_LIMIT = 64
GOODBYE_S = 1.0
"""A GONE record without an ack is retransmitted for this long."""


class _Watcher(msgspec.Struct):
    """State of one balancer that watches this process."""

    next_heartbeat_at: float
    acked_at: float
    next_announce_at: float = 0.0
    acked_seq: int = UNACKED_SEQ
    seen: int = 0
    retransmit_s: float = RETRANSMIT_S


def watchers_checksum(watchers: Iterable[NodeId]) -> int:
    """Return the 16-bit checksum of a set of watchers."""
    return id_hash(",".join(sorted(watchers))) & 0xFFFF


def _next_in_schedule(now: Seconds, next_at: float) -> float:
    """Return the first heartbeat of a schedule that is not past."""
    return next_at - HEARTBEAT_S if next_at - HEARTBEAT_S >= now else next_at


class Reporter:
    """Sends heartbeats, announces changes, and finds new watchers."""

    def __init__(
        self, record: Record, seeds: tuple[NodeId, ...], rng: random.Random
    ) -> None:
        self.record = record
        self.flows = 0
        self.busy = 0
        self.known_digest = 0
        self.peers: tuple[NodeId, ...] = ()
        self.watchers: dict[NodeId, _Watcher] = {}
        self._seeds = tuple(seed for seed in seeds if seed != record.id)
        self._rng = rng
        self._last_ack_at: float | None = None
        self._next_search = 0.0
        self._goodbye_ends_at: float | None = None

    @property
    def is_acked(self) -> bool:
        """Whether some balancer has acknowledged the current record."""
        return any(
            w.acked_seq >= self.record.seq for w in self.watchers.values()
        )

    def isolated(self, now: Seconds) -> bool:
        """Return whether no ack was received within the limit."""
        last_ack_at = self._last_ack_at
        return last_ack_at is None or now - last_ack_at > ISOLATED_S

    def finished(self, now: Seconds) -> bool:
        """Return whether the GONE record was acknowledged or timed out."""
        ends = self._goodbye_ends_at
        return ends is not None and (self.is_acked or now >= ends)

    def change(self, state: ServerState) -> None:
        """Set the state to announce."""
        if self.record.state in (state, ServerState.GONE):
            return
        self.record = msgspec.structs.replace(
            self.record, state=state, seq=self.record.seq + 1
        )

    def reannounce(self) -> None:
        """Announce the record again: others may hold an outdated one."""
        if self.record.live:
            seq = self.record.seq + 1
            self.record = msgspec.structs.replace(self.record, seq=seq)
            self.announce_now()

    def leave(self, now: Seconds) -> None:
        """Announce that this incarnation ends."""
        self.change(ServerState.GONE)
        self._goodbye_ends_at = now + GOODBYE_S

    def refute(self, incarnation: Incarnation) -> bool:
        """Refute a record that marks an incarnation of this process as ended.

        Returns whether the process took a new incarnation.
        """
        if not self.record.live or incarnation < self.record.incarnation:
            return False
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=Incarnation(incarnation + 1),
            seq=self.record.seq + 1,
        )
        return True

    def add_seeds(self, seeds: Iterable[NodeId]) -> None:
        """Add balancers to contact when no watcher replies."""
        known = dict.fromkeys((*self._seeds, *seeds))
        known.pop(self.record.id, None)
        self._seeds = tuple(known)[-SEEDS_LIMIT:]

    def contact_seed(self, known: Container[NodeId]) -> list[Send]:
        """Send the record to a random seed that is not a known member."""
        unknown_seeds = [seed for seed in self._seeds if seed not in known]
        if not unknown_seeds or not self.record.live:
            return []
        announce = Announce(self.record, self._make_heartbeat(0, want=True))
        return [Send(self._rng.choice(unknown_seeds), announce)]

    def set_watchers(self, now: Seconds, watchers: tuple[NodeId, ...]) -> None:
        """Send heartbeats to these balancers from now on."""
        if not watchers or set(watchers) == set(self.watchers):
            return
        # A record acked by one balancer soon reaches all: heartbeats suffice.
        acked_seq = self.record.seq if self.is_acked else UNACKED_SEQ
        kept: dict[NodeId, _Watcher] = {}
        schedule = [
            w.next_heartbeat_at
            for n, w in self.watchers.items()
            if n in watchers
        ]
        next_at = (
            max(now, *schedule)
            if schedule
            else now - HEARTBEAT_S / len(watchers)
        )
        for node in watchers:
            held = self.watchers.get(node)
            if held is None:
                next_at = _next_in_schedule(
                    now, next_at + HEARTBEAT_S / len(watchers)
                )
                held = _Watcher(next_at, now, acked_seq=acked_seq)
            kept[node] = held
        self.watchers = kept

    def acked(self, now: Seconds, src: NodeId, ack: Ack) -> bool:
        """Process an ack; return whether it was wrong and has been refuted."""
        self._last_ack_at = now
        if ack.peers:
            self.peers = ack.peers[:PEERS]
        self.set_watchers(now, ack.watchers or self._fallback(now, src))
        mine = (self.record.incarnation, self.record.live)
        if ack.seq >= 0 and (ack.incarnation, not ack.gone) != mine:
            if ack.incarnation > mine[0] or (
                ack.incarnation == mine[0] and ack.gone
            ):
                return self.refute(ack.incarnation)
            return False
        watcher = self.watchers.get(src)
        if watcher is not None:
            watcher.acked_at = now
            watcher.acked_seq = ack.seq
            watcher.seen = ack.version
            watcher.retransmit_s = RETRANSMIT_S
        return False

    def due(self, now: Seconds) -> list[Send]:
        """Return the heartbeats and announcements to send now."""
        if self.finished(now):
            return []
        sent: list[Send] = []
        for node, watcher in self.watchers.items():
            if now >= watcher.next_heartbeat_at or self._announce_due(
                now, watcher
            ):
                sent.append(self._heartbeat(now, node, watcher))
        if self.isolated(now) and now >= self._next_search:
            self._next_search = now + SEARCH_S * self._rng.uniform(0.75, 1.25)
            sent += self._search()
        return sent

    def announce_now(self) -> None:
        """Make the next ``due`` announce a change to all watchers."""
        for watcher in self.watchers.values():
            watcher.next_announce_at = 0.0
            watcher.retransmit_s = RETRANSMIT_S

    def _announce_due(self, now: Seconds, watcher: _Watcher) -> bool:
        behind = watcher.acked_seq < self.record.seq
        return behind and now >= watcher.next_announce_at

    def _heartbeat(
        self, now: Seconds, node: NodeId, watcher: _Watcher
    ) -> Send:
        late = now - watcher.next_heartbeat_at
        if late >= 0.0:  # an early announcement keeps the schedule
            base = watcher.next_heartbeat_at if late < HEARTBEAT_S else now
            watcher.next_heartbeat_at = base + HEARTBEAT_S
        beat = self._make_heartbeat(
            watcher.seen, want=now - watcher.acked_at > ACK_REQUEST_S
        )
        if watcher.acked_seq < self.record.seq:
            watcher.next_announce_at = now + watcher.retransmit_s
            watcher.retransmit_s = min(2 * watcher.retransmit_s, HEARTBEAT_S)
            return Send(node, Announce(self.record, beat))
        return Send(node, beat)

    def _make_heartbeat(self, seen: int, want: bool) -> Beat:
        return Beat(
            self.record.incarnation,
            self.record.seq,
            seen,
            watchers_checksum(self.watchers),
            int(want),
            self.flows,
            self.busy,
            0 if seen else self.known_digest,
        )

    def _search(self) -> list[Send]:
        announce = Announce(self.record, self._make_heartbeat(0, want=True))
        groups = [group for group in (self.peers, self._seeds) if group]
        chosen = dict.fromkeys(self._rng.choice(group) for group in groups)
        return [Send(node, announce) for node in chosen]

    def _fallback(self, now: Seconds, src: NodeId) -> tuple[NodeId, ...]:
        """Return the sender of an ack as watcher if no other replies."""
        answers = [w.acked_at for n, w in self.watchers.items() if n != src]
        silent = all(now - acked_at > ISOLATED_S for acked_at in answers)
        return (src,) if silent else ()
