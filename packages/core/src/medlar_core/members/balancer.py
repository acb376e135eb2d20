"""Membership of a balancer: tracks all servers and all balancers."""

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
from .acks import AckBuilder
from .explain import changed
from .explain import explain
from .gossip import GossipQueue
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
from .record import gone
from .record import Record
from .record import RecordDecodeError
from .record import Role
from .record import unpack
from .reporter import Reporter
from .seeds import SeedHolder
from .seeds import SeedReader
from .sync import Sync
from .table import Table
from .view import Balancer
from .view import View
from .view_builder import ViewBuilder

PAUSE_S = 1.0
"""Gap between two events from which on it counts as a pause of the process."""
SYNC_S = 1.0
FAST_SYNC_S = 0.4
STORE_CHECK_S = 1.0
SEED_CONTACT_S = 5.0
"""Interval between announcements to a seed that is not a member.

Groups that started apart or were partitioned merge this way.
"""
STARTUP_S = 20.0
STARTUP_SEED_CONTACT_S = 1.0
FAST_SYNC_AFTER_CHANGE_S = 3.0
"""Time after a change during which tables are compared more often."""
EXPIRE_S = 60.0


class BalancerMembers:
    """Tracks members and their liveness by messages to agents and balancers.

    It must receive every event of the process before the other parts do:
    on the first event after a pause it publishes a view without usable
    servers, so that nothing is placed by the outdated one.
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
        self._liveness = Liveness(self_record, self._table, self._places, rng)
        self._reporter = Reporter(self_record, seeds, rng)
        self._acks = AckBuilder(self._me, self._table, rng)
        self._gossip = GossipQueue(rng)
        self._sync = Sync(self._table)
        self._grid = Grid()
        self._view_builder = ViewBuilder(self._table, self._grid, self._places)
        self._access = access
        self._holder = SeedHolder(access, self_record.place)
        self._reader = SeedReader(access)
        self._next_sync = 0.0
        self._fast_sync_until = 0.0
        self._next_store = 0.0
        self._next_seed_contact = 0.0
        self._started_at: Seconds | None = None
        self._next_expire = 0.0
        self._last_event_at: Seconds | None = None
        self._published_records: tuple[Record, ...] = ()
        self._published_balancers: tuple[Balancer, ...] = ()
        self._suspended = False
        self._sync_token = 1
        self.synced = False
        self.finished = False

    @property
    def view(self) -> View:
        """The last view that was published."""
        return self._view_builder.view

    @property
    def record(self) -> Record:
        """The record of this balancer as announced now."""
        return self._reporter.record

    @property
    def holds_seeds(self) -> bool:
        """Whether this balancer keeps the seed list of its place."""
        return self._holder.holds

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Process one event and return the effects to carry out."""
        effects = self._detect_pause(now)
        match event:
            case Tick():
                effects += self._tick(now)
            case Received(src=src, msg=msg):
                effects += self._received(now, src, msg)
            case StoreAnswered():
                self._answered(now, event)
            case ConfigurationChanged(cfg=cfg):
                self._places.take(cfg)
                self._liveness.regions_changed()
            case StopAsked():
                effects += self._leave(now)
        return effects

    def _detect_pause(self, now: Seconds) -> list[Effect]:
        gap = 0.0 if self._last_event_at is None else now - self._last_event_at
        self._last_event_at = now
        if gap < PAUSE_S:
            return []
        self._liveness.paused(now)
        self._holder.fence()
        self._suspended = bool(self._liveness.others())
        self._sync_token += 1
        self._next_sync = now
        self._view_builder.refresh_all()
        text = f"Process paused for {gap:.1f} s; placement is suspended."
        return [explain(text, "paused"), *self._publish(now)]

    def _tick(self, now: Seconds) -> list[Effect]:
        self._table.apply(now, self.record)
        self._liveness.reassign(now)
        own = self._liveness.watchers.get(self._me, ())
        self._reporter.set_watchers(now, own)
        effects: list[Effect] = [*self._reporter.due(now)]
        effects += self._contact_seeds(now)
        self.finished = self._reporter.finished(now)
        effects += self._detect_failures(now)
        effects += self._probe_places(now)
        others = self._liveness.others()
        effects += self._gossip.due(others)
        effects += self._compare(now, others)
        effects += self._send_loads(now)
        effects += self._use_store(now, others)
        if now >= self._next_expire:
            self._next_expire = now + EXPIRE_S
            self._table.expire(now)
        return effects + self._publish(now)

    def _contact_seeds(self, now: Seconds) -> list[Effect]:
        if now < self._next_seed_contact:
            return []
        self._started_at = (
            now if self._started_at is None else self._started_at
        )
        starting = now - self._started_at < STARTUP_S
        period = STARTUP_SEED_CONTACT_S if starting else SEED_CONTACT_S
        self._next_seed_contact = now + period * self._rng.uniform(0.75, 1.25)
        return [*self._reporter.contact_seed(self._table.live)]

    def _detect_failures(self, now: Seconds) -> list[Effect]:
        effects, dead = self._liveness.detect_failures(now)
        for record in dead:
            text = "No reply to any probe, while others of its place reply."
            effects.append(explain(text, "silent", record))
            effects += self._apply(now, [gone(record)], spread=True)
        return effects

    def _probe_places(self, now: Seconds) -> list[Effect]:
        effects, silent = self._liveness.probe_places(now)
        for place in silent:
            self._gossip.report_place(now, place)
            self._view_builder.refresh_all()
            text = (
                f"Place {place} is unreachable and gets no new work from here."
            )
            effects.append(explain(text, "place-silent"))
        for place in self._liveness.reachability.expired(now):
            for node in self._table.in_place(place):
                self._table.remove(node)
                self._view_builder.refresh_server(node)
        return effects

    def _compare(self, now: Seconds, others: list[NodeId]) -> list[Effect]:
        if not others or now < self._next_sync:
            return []
        unreconciled = self._liveness.reachability.unreconciled()
        unsynced = self._suspended or not self.synced or bool(unreconciled)
        changed_recently = now < self._fast_sync_until
        period = FAST_SYNC_S if unsynced or changed_recently else SYNC_S
        self._next_sync = now + period * self._rng.uniform(0.75, 1.25)
        wanted = (
            self._liveness.peers_of(unreconciled[0])
            if unreconciled
            else others
        )
        peer = self._rng.choice(wanted or others)
        return [self._sync.start(peer, self._sync_token if unsynced else 0)]

    def _send_loads(self, now: Seconds) -> list[Effect]:
        known = self._table.balancers()
        servers = len(self._table.live) - len(known)
        return [*self._grid.due(now, self._me, known, servers)]

    def _use_store(self, now: Seconds, others: list[NodeId]) -> list[Effect]:
        if not others and self._reporter.isolated(now):
            return [*self._reader.due(now)]
        if now < self._next_store:
            return [*self._access.due(now)]
        self._next_store = now + STORE_CHECK_S
        same_place = self._liveness.same_place()
        holds = same_place[:1] == [self._me] and not self._suspended
        return [*self._holder.due(now, holds, tuple(same_place))]

    def _publish(self, now: Seconds) -> list[Effect]:
        known = self._table.balancers()
        if known is not self._published_records:
            self._published_records = known
            self._published_balancers = tuple(
                Balancer(record.id, record.incarnation, record.place)
                for record in known
            )
        down = self._liveness.reachability.down()
        view = self._view_builder.due(
            now, self._published_balancers, down, self._suspended
        )
        return [Publish(ViewChanged(view))] if view else []

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        if self._liveness.record_message(now, src):
            self._next_sync = now + FAST_SYNC_S * self._rng.random()
        match msg:
            case Beat():
                return self._on_heartbeat(now, src, msg)
            case Announce(record=record, beat=beat) if record.id == src:
                effects = self._apply(now, [record], spread=True)
                return effects + self._on_heartbeat(now, src, beat)
            case Ack():
                return self._on_ack(now, src, msg)
            case Probe():
                return [Send(src, ProbeAck(self.record.incarnation))]
            case ProbeAck():
                return self._liveness.on_probe_ack(src)
            case ProbeFor(target=target):
                return self._liveness.probe_for(now, src, target)
            case Heard():
                self._liveness.on_heard(now, msg)
            case News(packed=packed, down=down):
                for place in down:
                    self._liveness.reachability.check(now, place)
                return self._apply(now, _unpacked(packed), spread=True)
            case Loads():
                self._view_builder.refresh_loads(self._grid.received(msg))
            case Digest():
                return [*self._sync.digest(src, msg)]
            case Buckets():
                return [*self._sync.buckets(src, msg)]
            case Prints():
                return [*self._sync.prints(src, msg)]
            case Same(token=token):
                self._on_match(src, token)
            case Records():
                return self._on_records(now, src, msg)
        return []

    def _on_heartbeat(
        self, now: Seconds, src: NodeId, beat: Beat
    ) -> list[Effect]:
        self._liveness.record_heartbeat(now, src)
        watchers = self._liveness.watchers.get(src, ())
        first = watchers[:1] == (self._me,)
        if first and self._acks.agrees(src, beat):
            self._store_load(src, beat)
        others = self._liveness.others()
        down = self._liveness.reachability.down()
        return [*self._acks.to(src, beat, watchers, others, down)]

    def _store_load(self, src: NodeId, beat: Beat) -> None:
        record = self._table.live.get(src)
        if record is None or record.role is not Role.SERVER:
            return
        if self._grid.reported(src, beat.flows, beat.busy):
            self._view_builder.refresh_loads([load_key(src)])

    def _on_ack(self, now: Seconds, src: NodeId, ack: Ack) -> list[Effect]:
        if self._reporter.acked(now, src, ack):
            return self._refuted(now)
        if src in self._table.live:
            return []
        return [self._sync.start(src, self._sync_token)]

    def _refuted(self, now: Seconds) -> list[Effect]:
        self._table.apply(now, self.record)
        self._gossip.add(self.record)
        self._view_builder.refresh_server(self._me)
        text = "Balancer was recorded as gone; announced as live."
        return [explain(text, "refuted", self.record)]

    def _on_records(
        self, now: Seconds, src: NodeId, msg: Records
    ) -> list[Effect]:
        records = _unpacked(msg.packed)
        stale = [record for record in records if self._outdated(record)]
        effects = self._apply(now, records, spread=False)
        effects += self._sync.wanted(src, msg)
        effects += self._sync.correct(src, stale)
        self._on_match(src, msg.token)
        return effects

    def _outdated(self, record: Record) -> bool:
        held = self._table.get(record.id)
        return held is not None and held.rank > record.rank

    def _on_match(self, src: NodeId, token: int) -> None:
        """Mark the table as synchronised with that of another balancer."""
        if token != self._sync_token:
            return
        self.synced = True
        if self._suspended:
            self._suspended = False
            self._view_builder.refresh_all()
        for place in self._liveness.reachability.unreconciled():
            if src in self._liveness.peers_of(place):
                self._liveness.reachability.reconciled(place)
                self._view_builder.refresh_all()

    def _apply(
        self, now: Seconds, records: list[Record], spread: bool
    ) -> list[Effect]:
        effects: list[Effect] = []
        for record in records:
            if record.id == self._me:
                effects += self._on_own_record(now, record)
                continue
            held = self._table.get(record.id)
            if not self._table.apply(now, record):
                continue
            self._view_builder.refresh_server(record.id)
            if not record.live:
                self._grid.remove(record.id)
            if spread:
                self._gossip.add(record)
            self._fast_sync_until = now + FAST_SYNC_AFTER_CHANGE_S
            effects += changed(held, record)
        return effects

    def _on_own_record(self, now: Seconds, record: Record) -> list[Effect]:
        if record.rank <= self.record.rank:
            return []
        if not self._reporter.refute(record.incarnation):
            return []
        return self._refuted(now)

    def _answered(self, now: Seconds, event: StoreAnswered) -> None:
        answer = self._access.take(now, Part.MEMBERS, event)
        if answer is not None:
            self._reporter.add_seeds(self._reader.take(event, answer))
            self._holder.take(now, event, answer)

    def _leave(self, now: Seconds) -> list[Effect]:
        self._reporter.leave(now)
        self._reporter.announce_now()
        self._table.apply(now, self.record)
        self._gossip.add(self.record)
        return [explain("Balancer is shutting down.", "stop", self.record)]


def _unpacked(data: bytes) -> list[Record]:
    try:
        return unpack(data)
    except RecordDecodeError:
        return []
