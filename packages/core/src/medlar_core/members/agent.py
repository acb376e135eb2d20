"""Membership of an agent: announces its server and tracks its peers."""

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
from .record import Record
from .record import RecordDecodeError
from .reporter import Reporter
from .seeds import SeedReader
from .view import ServerState
from .view import View

PAUSE_S = 1.0
"""Gap between two events from which on it counts as a pause of the process."""
FAILED_PROBES_LIMIT = 2
"""Failed probes in a row after which the server is not usable."""


class Leave(msgspec.Struct, frozen=True):
    """Event: all parts have stopped; announce that the server is gone."""


class AgentMembers:
    """Announces its server and tracks the other servers of its service.

    ``StopAsked`` announces a drain. ``Leave`` announces that the server is
    gone; ``finished`` turns True once that is acknowledged or timed out.
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
        self._failed_probes = 0
        self._warm_ends_at: float | None = None
        self._last_event_at: Seconds | None = None
        self._suspended = False
        self._down: tuple[PlaceName, ...] = ()
        self.finished = False

    @property
    def view(self) -> View:
        """The last view that was published."""
        return self._peers.view

    @property
    def record(self) -> Record:
        """The record of the local server as announced now."""
        return self._reporter.record

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Process one event and return the effects to carry out."""
        effects = self._detect_pause(now)
        match event:
            case Tick():
                effects += self._tick(now)
            case Received(src=src, msg=msg):
                effects += self._received(now, src, msg)
            case StoreAnswered():
                answer = self._access.take(now, Part.MEMBERS, event)
                if answer is not None:
                    found = self._reader.take(event, answer)
                    self._reporter.add_seeds(found)
            case ConfigurationChanged(cfg=cfg):
                self._places.take(cfg)
            case LoadMeasured(flows=flows, busy=busy):
                self._measured(flows, busy)
            case ServerProbed(alive=alive, ready=ready):
                effects += self._probed(now, alive, ready)
            case DrainAsked() | StopAsked():
                effects += self._change_state(now, ServerState.DRAINING)
            case Leave():
                self._reporter.leave(now)
                self._reporter.announce_now()
        return effects

    def _detect_pause(self, now: Seconds) -> list[Effect]:
        gap = 0.0 if self._last_event_at is None else now - self._last_event_at
        self._last_event_at = now
        if gap < PAUSE_S:
            return []
        self._suspended = True
        self._reporter.reannounce()
        text = f"Process paused for {gap:.1f} s and takes no new work."
        return [explain(text, "paused", self.record), *self._publish(now)]

    def _tick(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        if self._warm_ends_at is not None and now >= self._warm_ends_at:
            self._warm_ends_at = None
            effects += self._change_state(now, ServerState.READY)
        effects += self._reporter.due(now)
        if self._reporter.isolated(now):
            effects += self._reader.due(now)
        self.finished = self._reporter.finished(now)
        return effects + self._publish(now)

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        match msg:
            case Ack():
                return self._on_ack(now, src, msg)
            case Probe(watchers=watchers):
                self._reporter.set_watchers(now, watchers)
                return [Send(src, ProbeAck(self.record.incarnation))]
        return []

    def _on_ack(self, now: Seconds, src: NodeId, ack: Ack) -> list[Effect]:
        if self._reporter.acked(now, src, ack):
            text = "Server was recorded as gone; announced as live."
            return [explain(text, "refuted", self.record)]
        if ack.seq >= self.record.seq:
            self._suspended = False
        self._down = ack.down
        try:
            self._peers.apply_ack(now, ack)
        except RecordDecodeError:
            return []
        self._reporter.known_digest = self._peers.digest(self.record.service)
        return self._publish(now)

    def _publish(self, now: Seconds) -> list[Effect]:
        watchers = tuple(self._reporter.watchers)
        self._peers.set_own(now, self.record, self._load())
        view = self._peers.due(now, watchers, self._down, self._suspended)
        return [Publish(ViewChanged(view))] if view else []

    def _load(self) -> Load:
        return Load.of(self._reporter.flows, self._reporter.busy)

    def _measured(self, flows: int | None, busy: int | None) -> None:
        reporter = self._reporter
        reporter.flows = reporter.flows if flows is None else flows
        reporter.busy = reporter.busy if busy is None else busy

    def _probed(self, now: Seconds, alive: bool, ready: bool) -> list[Effect]:
        self._failed_probes = 0 if alive else self._failed_probes + 1
        state = self.record.state
        if state is ServerState.DRAINING:
            return []
        if self._failed_probes >= FAILED_PROBES_LIMIT:
            self._warm_ends_at = None
            return self._change_state(now, ServerState.ANNOUNCED)
        if state is ServerState.ANNOUNCED and alive and ready:
            warm_s = self._places.warm_s(self.record.service)
            self._warm_ends_at = now + warm_s
            return self._change_state(now, ServerState.WARMING)
        return []

    def _change_state(self, now: Seconds, state: ServerState) -> list[Effect]:
        if self.record.state in (state, ServerState.GONE):
            return []
        self._reporter.change(state)
        self._reporter.announce_now()
        text = f"Local server state changed to {state.value}."
        effects: list[Effect] = [explain(text, "told", self.record)]
        effects += self._reporter.due(now)
        return effects + self._publish(now)
