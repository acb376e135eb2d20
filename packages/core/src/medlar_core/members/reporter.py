"""How a process tells the fleet that it lives and what it is."""

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
"""Period of beats to one watcher; those to two are half of it apart."""
ASK_S = 5.5
"""An answer is asked for when the last is older than this."""
AGAIN_S = 0.2
"""First pause before a change that was not answered is told again."""
LOST_S = 6.5
"""A process that no watcher answered for so long looks for others."""
SEARCH_S = 0.5
PEERS = 8
UNTOLD = -1
SEEDS_LIMIT = 64
FAREWELL_S = 1.0
"""A goodbye that is not answered is repeated for so long."""


class _Watcher(msgspec.Struct):
    """What the process knows of one balancer that watches it."""

    next_beat: float
    acked_at: float
    next_tell: float = 0.0
    told: int = UNTOLD
    seen: int = 0
    again: float = AGAIN_S


def watchers_checksum(watchers: Iterable[NodeId]) -> int:
    """Return the 16-bit checksum of a set of watchers."""
    return id_hash(",".join(sorted(watchers))) & 0xFFFF


def _between(now: Seconds, beat: float) -> float:
    """Return the first time of a rhythm that is not past."""
    return beat - HEARTBEAT_S if beat - HEARTBEAT_S >= now else beat


class Reporter:
    """Beats to its watchers, announces changes, and finds new watchers."""

    def __init__(
        self, record: Record, seeds: tuple[NodeId, ...], rng: random.Random
    ) -> None:
        self.record = record
        self.flows = 0
        self.busy = 0
        self.holds = 0
        self.peers: tuple[NodeId, ...] = ()
        self.watchers: dict[NodeId, _Watcher] = {}
        self._seeds = tuple(seed for seed in seeds if seed != record.id)
        self._rng = rng
        self._heard_at: float | None = None
        self._next_search = 0.0
        self._farewell_ends: float | None = None

    @property
    def known(self) -> bool:
        """Whether some balancer holds this process as it now is."""
        return any(w.told >= self.record.seq for w in self.watchers.values())

    def lost(self, now: Seconds) -> bool:
        """Return whether no balancer has answered for long."""
        heard = self._heard_at
        return heard is None or now - heard > LOST_S

    def finished(self, now: Seconds) -> bool:
        """Return whether the goodbye was answered or its time is over."""
        ends = self._farewell_ends
        return ends is not None and (self.known or now >= ends)

    def change(self, state: ServerState) -> None:
        """Tell a new state from now on."""
        if self.record.state in (state, ServerState.GONE):
            return
        self.record = msgspec.structs.replace(
            self.record, state=state, seq=self.record.seq + 1
        )

    def renew(self) -> None:
        """Tell the fleet anew what it may have heard otherwise."""
        if self.record.live:
            seq = self.record.seq + 1
            self.record = msgspec.structs.replace(self.record, seq=seq)
            self.tell_now()

    def leave(self, now: Seconds) -> None:
        """Say goodbye: this incarnation ends."""
        self.change(ServerState.GONE)
        self._farewell_ends = now + FAREWELL_S

    def refute(self, incarnation: Incarnation) -> bool:
        """Answer news that an incarnation of this process has ended.

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

    def learn_seeds(self, seeds: Iterable[NodeId]) -> None:
        """Add balancers to turn to when none answers."""
        known = dict.fromkeys((*self._seeds, *seeds))
        known.pop(self.record.id, None)
        self._seeds = tuple(known)[-SEEDS_LIMIT:]

    def meet(self, known: Container[NodeId]) -> list[Send]:
        """Announce oneself to a seed that is not known as a member."""
        strangers = [seed for seed in self._seeds if seed not in known]
        if not strangers or not self.record.live:
            return []
        announce = Announce(self.record, self._make_beat(0, want=True))
        return [Send(self._rng.choice(strangers), announce)]

    def watch_by(self, now: Seconds, watchers: tuple[NodeId, ...]) -> None:
        """Beat to these balancers from now on."""
        if not watchers or set(watchers) == set(self.watchers):
            return
        # Who is known to some is known to all soon: a beat will do.
        told = self.record.seq if self.known else UNTOLD
        kept: dict[NodeId, _Watcher] = {}
        rhythm = [
            w.next_beat for n, w in self.watchers.items() if n in watchers
        ]
        beat = (
            max(now, *rhythm) if rhythm else now - HEARTBEAT_S / len(watchers)
        )
        for node in watchers:
            held = self.watchers.get(node)
            if held is None:
                beat = _between(now, beat + HEARTBEAT_S / len(watchers))
                held = _Watcher(beat, now, told=told)
            kept[node] = held
        self.watchers = kept

    def acked(self, now: Seconds, src: NodeId, ack: Ack) -> bool:
        """Take an answer; return whether the process was held for gone."""
        self._heard_at = now
        if ack.peers:
            self.peers = ack.peers[:PEERS]
        self.watch_by(now, ack.watchers or self._fallback(now, src))
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
            watcher.told = ack.seq
            watcher.seen = ack.version
            watcher.again = AGAIN_S
        return False

    def due(self, now: Seconds) -> list[Send]:
        """Return the beats and announcements that go now."""
        if self.finished(now):
            return []
        sent: list[Send] = []
        for node, watcher in self.watchers.items():
            if now >= watcher.next_beat or self._untold(now, watcher):
                sent.append(self._beat(now, node, watcher))
        if self.lost(now) and now >= self._next_search:
            self._next_search = now + SEARCH_S * self._rng.uniform(0.75, 1.25)
            sent += self._search()
        return sent

    def tell_now(self) -> None:
        """Let the next ``due`` tell a change to all watchers."""
        for watcher in self.watchers.values():
            watcher.next_tell = 0.0
            watcher.again = AGAIN_S

    def _untold(self, now: Seconds, watcher: _Watcher) -> bool:
        behind = watcher.told < self.record.seq
        return behind and now >= watcher.next_tell

    def _beat(self, now: Seconds, node: NodeId, watcher: _Watcher) -> Send:
        late = now - watcher.next_beat
        if late >= 0.0:  # else it goes besides, and the rhythm stays
            base = watcher.next_beat if late < HEARTBEAT_S else now
            watcher.next_beat = base + HEARTBEAT_S
        beat = self._make_beat(
            watcher.seen, want=now - watcher.acked_at > ASK_S
        )
        if watcher.told < self.record.seq:
            watcher.next_tell = now + watcher.again
            watcher.again = min(2 * watcher.again, HEARTBEAT_S)
            return Send(node, Announce(self.record, beat))
        return Send(node, beat)

    def _make_beat(self, seen: int, want: bool) -> Beat:
        return Beat(
            self.record.incarnation,
            self.record.seq,
            seen,
            watchers_checksum(self.watchers),
            int(want),
            self.flows,
            self.busy,
            0 if seen else self.holds,
        )

    def _search(self) -> list[Send]:
        announce = Announce(self.record, self._make_beat(0, want=True))
        groups = [group for group in (self.peers, self._seeds) if group]
        chosen = dict.fromkeys(self._rng.choice(group) for group in groups)
        return [Send(node, announce) for node in chosen]

    def _fallback(self, now: Seconds, src: NodeId) -> tuple[NodeId, ...]:
        """Return whom to beat to when the watchers known do not answer."""
        answers = [w.acked_at for n, w in self.watchers.items() if n != src]
        silent = all(now - acked_at > LOST_S for acked_at in answers)
        return (src,) if silent else ()
