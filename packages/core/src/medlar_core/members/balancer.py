"""Membership of a balancer: it knows all servers and all balancers."""

import random
from typing import Any

from ..effects import Effect
from ..effects import Publish
from ..effects import Send
from ..events import ConfigurationChanged
from ..events import Received
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..events import ViewChanged
from ..ids import NodeId
from ..ids import Seconds
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess
from .acks import Answers
from .explain import changed
from .explain import explain
from .gossip import Outbox
from .liveness import Liveness
from .load import Grid
from .load import load_key
from .messages import Ack
from .messages import Announce
from .messages import Beat
from .messages import Buckets
from .messages import Digest
from .messages import Heard
from .messages import Loads
from .messages import News
from .messages import Prints
from .messages import Probe
from .messages import ProbeAck
from .messages import ProbeFor
from .messages import Records
from .messages import Same
from .places import Places
from .record import BadPack
from .record import gone
from .record import Record
from .record import Role
from .record import unpack
from .reporter import Reporter
from .seeds import SeedHolder
from .seeds import SeedReader
from .sync import Sync
from .table import Table
from .view import Balancer
from .view import View
from .view_builder import Viewer

PAUSE_S = 1.0
"""A gap between events after which a process no longer trusts itself."""
SYNC_S = 1.0
HASTY_SYNC_S = 0.4
STORE_S = 1.0
MEET_S = 5.0
"""Period in which a seed that is not a member is tried.

Groups that started or were cut apart meet so.
"""
YOUNG_S = 20.0
YOUNG_MEET_S = 1.0
LIVELY_S = 3.0
"""Time after a change in which tables are compared more often."""
EXPIRE_S = 60.0


class BalancerMembers:
    """Decides who is a member, by talking to agents and balancers.

    Hand it every event of the process before other parts get it: the
    first event after a pause closes the view before anything is placed
    by it.
    """

    def __init__(
        self,
        self_record: Record,
        seeds: tuple[NodeId, ...],
        rng: random.Random,
        access: StoreAccess,
        places: Places | None = None,
    ) -> None:
        self._rng = rng
        self._me = self_record.id
        self._places = places or Places()
        self._table = Table(rng)
        self._live = Liveness(self_record, self._table, self._places, rng)
        self._reporter = Reporter(self_record, seeds, rng)
        self._answers = Answers(self._me, self._table, rng)
        self._outbox = Outbox(rng)
        self._sync = Sync(self._table)
        self._grid = Grid()
        self._viewer = Viewer(self._table, self._grid, self._places)
        self._access = access
        self._holder = SeedHolder(access, self_record.place)
        self._reader = SeedReader(access)
        self._next_sync = 0.0
        self._lively_until = 0.0
        self._next_store = 0.0
        self._next_meet = 0.0
        self._born: Seconds | None = None
        self._next_expire = 0.0
        self._last: Seconds | None = None
        self._told_known: tuple[Record, ...] = ()
        self._told: tuple[Balancer, ...] = ()
        self._closed = False
        self._token = 1
        self.synced = False
        self.finished = False

    @property
    def view(self) -> View:
        """The last view that was told."""
        return self._viewer.view

    @property
    def record(self) -> Record:
        """What this balancer says of itself."""
        return self._reporter.record

    @property
    def holds_seeds(self) -> bool:
        """Whether this balancer keeps the addresses of its place."""
        return self._holder.holds

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
        effects = self._mind_pause(now)
        match event:
            case Tick():
                effects += self._tick(now)
            case Received(src=src, msg=msg):
                effects += self._received(now, src, msg)
            case StoreAnswered():
                self._answered(now, event)
            case ConfigurationChanged(cfg=cfg):
                self._places.take(cfg)
                self._live.regions_changed()
            case StopAsked():
                effects += self._leave(now)
        return effects

    def _mind_pause(self, now: Seconds) -> list[Effect]:
        gap = 0.0 if self._last is None else now - self._last
        self._last = now
        if gap < PAUSE_S:
            return []
        self._live.paused(now)
        self._holder.fence()
        self._closed = bool(self._live.others())
        self._token += 1
        self._next_sync = now
        self._viewer.all_now()
        text = f"Process stood still for {gap:.1f} s and places nothing."
        return [explain(text, "paused"), *self._publish(now)]

    def _tick(self, now: Seconds) -> list[Effect]:
        self._table.apply(now, self.record)
        self._live.reassign(now)
        own = self._live.watchers.get(self._me, ())
        self._reporter.watch_by(now, own)
        effects: list[Effect] = [*self._reporter.due(now)]
        effects += self._meet(now)
        self.finished = self._reporter.finished(now)
        effects += self._judge(now)
        effects += self._look(now)
        others = self._live.others()
        effects += self._outbox.due(others)
        effects += self._compare(now, others)
        effects += self._tell_loads(now)
        effects += self._use_store(now, others)
        if now >= self._next_expire:
            self._next_expire = now + EXPIRE_S
            self._table.expire(now)
        return effects + self._publish(now)

    def _meet(self, now: Seconds) -> list[Effect]:
        if now < self._next_meet:
            return []
        self._born = now if self._born is None else self._born
        young = now - self._born < YOUNG_S
        period = YOUNG_MEET_S if young else MEET_S
        self._next_meet = now + period * self._rng.uniform(0.75, 1.25)
        return [*self._reporter.meet(self._table.live)]

    def _judge(self, now: Seconds) -> list[Effect]:
        effects, dead = self._live.judge(now)
        for record in dead:
            text = "No answer to any probe, while others of its place answer."
            effects.append(explain(text, "silent", record))
            effects += self._apply(now, [gone(record)], spread=True)
        return effects

    def _look(self, now: Seconds) -> list[Effect]:
        effects, silent = self._live.look(now)
        for place in silent:
            self._outbox.hint(now, place)
            self._viewer.all_now()
            text = f"Place {place} is silent and gets no new work from here."
            effects.append(explain(text, "place-silent"))
        for place in self._live.reach.over(now):
            for node in self._table.in_place(place):
                self._table.forget(node)
                self._viewer.server_now(node)
        return effects

    def _compare(self, now: Seconds, others: list[NodeId]) -> list[Effect]:
        if not others or now < self._next_sync:
            return []
        awaited = self._live.reach.awaited()
        hasty = self._closed or not self.synced or bool(awaited)
        lively = now < self._lively_until
        period = HASTY_SYNC_S if hasty or lively else SYNC_S
        self._next_sync = now + period * self._rng.uniform(0.75, 1.25)
        wanted = self._live.peers_of(awaited[0]) if awaited else others
        peer = self._rng.choice(wanted or others)
        return [self._sync.start(peer, self._token if hasty else 0)]

    def _tell_loads(self, now: Seconds) -> list[Effect]:
        known = self._table.balancers()
        servers = len(self._table.live) - len(known)
        return [*self._grid.due(now, self._me, known, servers)]

    def _use_store(self, now: Seconds, others: list[NodeId]) -> list[Effect]:
        if not others and self._reporter.lost(now):
            return [*self._reader.due(now)]
        if now < self._next_store:
            return [*self._access.due(now)]
        self._next_store = now + STORE_S
        near = self._live.near()
        holds = near[:1] == [self._me] and not self._closed
        return [*self._holder.due(now, holds, tuple(near))]

    def _publish(self, now: Seconds) -> list[Effect]:
        known = self._table.balancers()
        if known is not self._told_known:
            self._told_known = known
            self._told = tuple(
                Balancer(record.id, record.incarnation, record.place)
                for record in known
            )
        down = self._live.reach.down()
        view = self._viewer.due(now, self._told, down, self._closed)
        return [Publish(ViewChanged(view))] if view else []

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        if self._live.heard(now, src):
            self._next_sync = now + HASTY_SYNC_S * self._rng.random()
        match msg:
            case Beat():
                return self._beaten(now, src, msg)
            case Announce(record=record, beat=beat) if record.id == src:
                effects = self._apply(now, [record], spread=True)
                return effects + self._beaten(now, src, beat)
            case Ack():
                return self._acked(now, src, msg)
            case Probe():
                return [Send(src, ProbeAck(self.record.incarnation))]
            case ProbeAck():
                return self._live.helped(src)
            case ProbeFor(target=target):
                return self._live.help(now, src, target)
            case Heard():
                self._live.heard_for(now, msg)
            case News(packed=packed, down=down):
                for place in down:
                    self._live.reach.check(now, place)
                return self._apply(now, _unpacked(packed), spread=True)
            case Loads():
                self._viewer.load_later(self._grid.received(msg))
            case Digest():
                return [*self._sync.digest(src, msg)]
            case Buckets():
                return [*self._sync.buckets(src, msg)]
            case Prints():
                return [*self._sync.prints(src, msg)]
            case Same(token=token):
                self._matched(src, token)
            case Records():
                return self._mended(now, src, msg)
        return []

    def _beaten(self, now: Seconds, src: NodeId, beat: Beat) -> list[Effect]:
        self._live.beaten(now, src)
        watchers = self._live.watchers.get(src, ())
        first = watchers[:1] == (self._me,)
        if first and self._answers.agrees(src, beat):
            self._note_load(src, beat)
        others = self._live.others()
        down = self._live.reach.down()
        return [*self._answers.to(src, beat, watchers, others, down)]

    def _note_load(self, src: NodeId, beat: Beat) -> None:
        record = self._table.live.get(src)
        if record is None or record.role is not Role.SERVER:
            return
        if self._grid.reported(src, beat.flows, beat.busy):
            self._viewer.load_later([load_key(src)])

    def _acked(self, now: Seconds, src: NodeId, ack: Ack) -> list[Effect]:
        if self._reporter.acked(now, src, ack):
            return self._refuted(now)
        if src in self._table.live:
            return []
        return [self._sync.start(src, self._token)]

    def _refuted(self, now: Seconds) -> list[Effect]:
        self._table.apply(now, self.record)
        self._outbox.add(self.record)
        self._viewer.server_now(self._me)
        text = "This balancer was held for gone and says that it lives."
        return [explain(text, "refuted", self.record)]

    def _mended(self, now: Seconds, src: NodeId, msg: Records) -> list[Effect]:
        records = _unpacked(msg.packed)
        stale = [record for record in records if self._outdated(record)]
        effects = self._apply(now, records, spread=False)
        effects += self._sync.wanted(src, msg)
        effects += self._sync.correct(src, stale)
        self._matched(src, msg.token)
        return effects

    def _outdated(self, record: Record) -> bool:
        held = self._table.get(record.id)
        return held is not None and held.rank > record.rank

    def _matched(self, src: NodeId, token: int) -> None:
        """Note that all that another balancer holds is held here."""
        if token != self._token:
            return
        self.synced = True
        if self._closed:
            self._closed = False
            self._viewer.all_now()
        for place in self._live.reach.awaited():
            if src in self._live.peers_of(place):
                self._live.reach.reconciled(place)
                self._viewer.all_now()

    def _apply(
        self, now: Seconds, records: list[Record], spread: bool
    ) -> list[Effect]:
        effects: list[Effect] = []
        for record in records:
            if record.id == self._me:
                effects += self._told_of_self(now, record)
                continue
            held = self._table.get(record.id)
            if not self._table.apply(now, record):
                continue
            self._viewer.server_now(record.id)
            if not record.live:
                self._grid.forget(record.id)
            if spread:
                self._outbox.add(record)
            self._lively_until = now + LIVELY_S
            effects += changed(held, record)
        return effects

    def _told_of_self(self, now: Seconds, record: Record) -> list[Effect]:
        if record.rank <= self.record.rank:
            return []
        if not self._reporter.refute(record.incarnation):
            return []
        return self._refuted(now)

    def _answered(self, now: Seconds, event: StoreAnswered) -> None:
        answer = self._access.take(now, Part.MEMBERS, event)
        if answer is not None:
            self._reporter.learn_seeds(self._reader.take(event, answer))
            self._holder.take(now, event, answer)

    def _leave(self, now: Seconds) -> list[Effect]:
        self._reporter.leave(now)
        self._reporter.tell_now()
        self._table.apply(now, self.record)
        self._outbox.add(self.record)
        return [explain("This balancer leaves.", "stop", self.record)]


def _unpacked(data: bytes) -> list[Record]:
    try:
        return unpack(data)
    except BadPack:
        return []
