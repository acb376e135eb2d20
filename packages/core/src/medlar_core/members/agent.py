"""Membership of an agent: it speaks for its server and knows its peers."""

import random
from typing import Any

import msgspec

from ..effects import Effect
from ..effects import Publish
from ..effects import Send
from ..events import ConfigurationChanged
from ..events import DrainAsked
from ..events import LoadMeasured
from ..events import Received
from ..events import ServerProbed
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..events import ViewChanged
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess
from .explain import explain
from .load import Load
from .messages import Ack
from .messages import Probe
from .messages import ProbeAck
from .peers import Peers
from .places import Places
from .record import BadPack
from .record import Record
from .reporter import Reporter
from .seeds import SeedReader
from .view import ServerState
from .view import View

PAUSE_S = 1.0
"""A gap between events after which a process no longer trusts itself."""
DEAD_PROBES = 2
"""Failed probes in a row after which the server is not usable."""


class Leave(msgspec.Struct, frozen=True):
    """All parts of this process have ended their work: say goodbye."""


class AgentMembers:
    """Announces its server and learns of the others of its service.

    ``StopAsked`` announces a drain; ``Leave`` says goodbye, and
    ``finished`` turns True when it was heard.
    """

    def __init__(
        self,
        self_record: Record,
        seeds: tuple[NodeId, ...],
        rng: random.Random,
        access: StoreAccess,
        places: Places | None = None,
    ) -> None:
        self._places = places or Places()
        self._reporter = Reporter(self_record, seeds, rng)
        self._peers = Peers(self._places, rng)
        self._access = access
        self._reader = SeedReader(access)
        self._failed = 0
        self._warm_ends: float | None = None
        self._last: Seconds | None = None
        self._closed = False
        self._down: tuple[PlaceName, ...] = ()
        self.finished = False

    @property
    def view(self) -> View:
        """The last view that was told."""
        return self._peers.view

    @property
    def record(self) -> Record:
        """What this agent says of its server."""
        return self._reporter.record

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
        effects = self._mind_pause(now)
        match event:
            case Tick():
                effects += self._tick(now)
            case Received(src=src, msg=msg):
                effects += self._received(now, src, msg)
            case StoreAnswered():
                answer = self._access.take(now, Part.MEMBERS, event)
                if answer is not None:
                    found = self._reader.take(event, answer)
                    self._reporter.learn_seeds(found)
            case ConfigurationChanged(cfg=cfg):
                self._places.take(cfg)
            case LoadMeasured(flows=flows, busy=busy):
                self._measured(flows, busy)
            case ServerProbed(alive=alive, ready=ready):
                effects += self._probed(now, alive, ready)
            case DrainAsked() | StopAsked():
                effects += self._change(now, ServerState.DRAINING)
            case Leave():
                self._reporter.leave(now)
                self._reporter.tell_now()
        return effects

    def _mind_pause(self, now: Seconds) -> list[Effect]:
        gap = 0.0 if self._last is None else now - self._last
        self._last = now
        if gap < PAUSE_S:
            return []
        self._closed = True
        self._reporter.renew()
        text = f"Process stood still for {gap:.1f} s and takes no new work."
        return [explain(text, "paused", self.record), *self._publish(now)]

    def _tick(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        if self._warm_ends is not None and now >= self._warm_ends:
            self._warm_ends = None
            effects += self._change(now, ServerState.READY)
        effects += self._reporter.due(now)
        if self._reporter.lost(now):
            effects += self._reader.due(now)
        self.finished = self._reporter.finished(now)
        return effects + self._publish(now)

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        match msg:
            case Ack():
                return self._acked(now, src, msg)
            case Probe(watchers=watchers):
                self._reporter.watch_by(now, watchers)
                return [Send(src, ProbeAck(self.record.incarnation))]
        return []

    def _acked(self, now: Seconds, src: NodeId, ack: Ack) -> list[Effect]:
        if self._reporter.acked(now, src, ack):
            text = "This server was held for gone and says that it lives."
            return [explain(text, "refuted", self.record)]
        if ack.seq >= self.record.seq:
            self._closed = False
        self._down = ack.down
        try:
            self._peers.learn(now, ack)
        except BadPack:
            return []
        self._reporter.holds = self._peers.digest(self.record.service)
        return self._publish(now)

    def _publish(self, now: Seconds) -> list[Effect]:
        watchers = tuple(self._reporter.watchers)
        self._peers.own(now, self.record, self._load())
        view = self._peers.due(now, watchers, self._down, self._closed)
        return [Publish(ViewChanged(view))] if view else []

    def _load(self) -> Load:
        return Load.of(self._reporter.flows, self._reporter.busy)

    def _measured(self, flows: int | None, busy: int | None) -> None:
        reporter = self._reporter
        reporter.flows = reporter.flows if flows is None else flows
        reporter.busy = reporter.busy if busy is None else busy

    def _probed(self, now: Seconds, alive: bool, ready: bool) -> list[Effect]:
        self._failed = 0 if alive else self._failed + 1
        state = self.record.state
        if state is ServerState.DRAINING:
            return []
        if self._failed >= DEAD_PROBES:
            self._warm_ends = None
            return self._change(now, ServerState.ANNOUNCED)
        if state is ServerState.ANNOUNCED and alive and ready:
            warm_s = self._places.warm_s(self.record.service)
            self._warm_ends = now + warm_s
            return self._change(now, ServerState.WARMING)
        return []

    def _change(self, now: Seconds, state: ServerState) -> list[Effect]:
        if self.record.state in (state, ServerState.GONE):
            return []
        self._reporter.change(state)
        self._reporter.tell_now()
        text = f"This server is {state.value}."
        effects: list[Effect] = [explain(text, "told", self.record)]
        effects += self._reporter.due(now)
        return effects + self._publish(now)
