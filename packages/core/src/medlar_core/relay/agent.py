"""Decisions of an agent: its server's flows, and where others are."""

import random
from typing import Any

import msgspec

from ..effects import Send
from ..events import Received
from ..events import ServerProbed
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..store import Item
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from .agent_flows import AgentFlows
from .effects import ProbeServer
from .effects import RelayEffect
from .event_factory import EventFactory
from .events import PassedOn
from .events import SeedsChanged
from .events import ServerAnnounced
from .events import ServerLeft
from .events import ServerReturned
from .flow_context import FlowContext
from .members import Members
from .messages import AgentReport
from .messages import AgentState
from .messages import EntryMissing
from .messages import FlowAsked
from .messages import FlowHeld
from .messages import FlowUnknown
from .messages import Goodbye
from .messages import Hello
from .messages import LoadReport
from .messages import OtherService
from .messages import ReportAsked
from .neighbour import Neighbour
from .registration import Registration
from .segment import Segment
from .segment import SegmentCodec
from .standstill import Standstill
from .telling import Telling

PEERS_EVERY_S = 0.1
BALANCERS_EVERY_S = 0.2
EXPIRE_EVERY_S = 1.0
PROBE_EVERY_S = 0.5
"""While no server has announced itself."""

_SYN = int(Flag.SYN)


class AgentIdentity(msgspec.Struct, frozen=True):
    """Who an agent is; ``beat_s`` is how often its server speaks."""

    node: NodeId
    place: PlaceName
    service: ServiceName
    incarnation: int
    beat_s: float
    seeds: tuple[NodeId, ...]


class RelayAgent:
    """Reducer of an agent."""

    def __init__(
        self,
        who: AgentIdentity,
        codec: SegmentCodec,
        access: StoreAccess,
        registration: Registration,
        rng: random.Random,
    ) -> None:
        self._who = who
        self._seeds = who.seeds
        self._incarnation = who.incarnation
        self._access = access
        self._registration = registration
        self.members = Members(who.node)
        self.neighbour = Neighbour(who.beat_s)
        self._journal = EventFactory(who.node)
        self._ctx = FlowContext(
            who.node,
            who.service,
            codec,
            self.members,
            self.neighbour,
            self._journal,
        )
        self._flows = AgentFlows(self._ctx, rng)
        self._count = 0
        self._state = AgentState.STARTING
        self._stopping = False
        self._peers = Telling(PEERS_EVERY_S)
        self._balancers = Telling(BALANCERS_EVERY_S)
        self._expire_at = 0.0
        self._probe_at = 0.0
        self._standstill = Standstill()

    @property
    def is_leaving(self) -> bool:
        """Whether the server is gone and the store still has its entry."""
        gone = self._state is AgentState.GONE
        return gone and not self._registration.is_written

    def reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        """Take one event and return the effects to carry out."""
        match event:
            case PassedOn(segment=segment) if segment.flags & _SYN:
                return self._flows.opened(now, event, self.report(now))
            case PassedOn():
                return self._flows.passed_on(now, event)
            case ServerReturned(segment=segment):
                return self._returned(now, segment)
            case Received(src=src, msg=msg):
                return self._received(now, src, msg)
            case Tick():
                return self._tick(now)
            case ServerProbed(alive=alive):
                return self._probed(now, alive)
            case ServerAnnounced():
                return self._announced(now, event)
            case ServerLeft():
                return self._left(now, event)
            case StoreAnswered():
                return self._answered(now, event)
            case SeedsChanged(seeds=seeds):
                self._seeds = seeds
            case StopAsked():
                self._stopping = True
                return self._changed(now)
        return []

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return figures of the moment by name."""
        return {
            "flows_open": self._ctx.table.open,
            "flows_waiting": self._ctx.table.busy,
            "flows_known": len(self._ctx.table),
            "configuration_version": self._journal.version,
            "store_failing": float(self._access.failing),
            **self.members.gauges(now),
        }

    def report(self, now: Seconds) -> AgentReport:
        """Return what this agent says of itself now."""
        server = self.neighbour.server
        state = self.neighbour.state(now)
        if self._stopping and state is not AgentState.GONE:
            state = AgentState.RESTARTING
        self._count += 1
        return AgentReport(
            id=self._who.node,
            place=self._who.place,
            service=self._ctx.service,
            incarnation=self._incarnation,
            count=self._count,
            state=state,
            slots=server.slots if server else 1,
            busy=self._ctx.table.busy,
            waiting=self._ctx.table.waiting(now),
            flows=self._ctx.table.open,
            cold=server is not None and server.cold_until > now,
            knows_all_flows=self.neighbour.knows_all(now),
            server=server.name if server else "",
            server_born=server.born_ms if server else 0,
        )

    def _answered(
        self, now: Seconds, event: StoreAnswered
    ) -> list[RelayEffect]:
        had = self._registration.earlier
        self._registration.answered(now, event)
        effects: list[RelayEffect] = []
        earlier = self._registration.earlier
        if earlier is not None and had is None:
            effects += self._remembered(now, earlier)
        return effects + self._store_calls(now)

    def _remembered(self, now: Seconds, item: Item) -> list[RelayEffect]:
        """Take over what an earlier process at this address wrote."""
        try:
            entry = msgspec.json.decode(item.value, type=AgentReport)
        except msgspec.DecodeError as exc:
            return [
                self._journal.state_event(
                    Topic.STORE,
                    f"store: own entry unreadable: {exc}",
                    server=self._who.node,
                )
            ]
        if entry.service == self._who.service:
            self._refute(entry)
            self.neighbour.remembered(now, entry)
        return self._changed(now)

    # The server beside this agent

    def _returned(self, now: Seconds, segment: Segment) -> list[RelayEffect]:
        if not segment.flags & Flag.BOUNCED:
            return self._flows.returned(now, segment)
        if segment.flags & _SYN:
            return self._flows.declined(now, segment, self.report(now))
        return self._flows.bounced(now, segment)

    def _probed(self, now: Seconds, alive: bool) -> list[RelayEffect]:
        if not self.neighbour.probed(now, alive):
            return []
        text = "listens" if alive else "does not listen"
        note = self._journal.state_event(
            Topic.MEMBERSHIP,
            f"members: server {text}, not announced yet",
            self._ctx.service,
            self._who.node,
        )
        return [note, *self._changed(now)]

    def _announced(
        self, now: Seconds, event: ServerAnnounced
    ) -> list[RelayEffect]:
        since = self.neighbour.announced(now, event)
        effects: list[RelayEffect] = []
        server = self.neighbour.server
        if server is not None:
            self._ctx.service = server.service
        if since is not None:
            effects += self._flows.server_ended(since)
        return effects + self._changed(now)

    def _left(self, now: Seconds, event: ServerLeft) -> list[RelayEffect]:
        if not self.neighbour.left(event):
            return []
        return [*self._flows.server_ended(now), *self._changed(now)]

    def _changed(self, now: Seconds) -> list[RelayEffect]:
        """Tell a change of state at once."""
        report = self.report(now)
        if report.state is self._state:
            return []
        old, self._state = self._state, report.state
        if old is AgentState.GONE:
            # The others forget who is gone, until it comes as another.
            self._incarnation += 1
            report = self.report(now)
        event = self._journal.state_event(
            Topic.DRAIN
            if report.state in (AgentState.DRAINING, AgentState.GONE)
            else Topic.MEMBERSHIP,
            f"members: server is {report.state.value}, was {old.value}",
            service=report.service,
            server=f"{report.server} born {report.server_born}",
        )
        self._peers.hurry()
        self._balancers.hurry()
        self._register(report)
        return [event, *self._tell(now), *self._store_calls(now)]

    # Other processes

    def _received(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[RelayEffect]:
        match msg:
            case AgentReport():
                self.members.apply_report(now, msg, direct=msg.id == src)
                return self._meet(now)
            case LoadReport():
                if not self.members.apply_load(now, src, msg):
                    return [Send(src, ReportAsked())]
            case ReportAsked():
                return [Send(src, self.report(now))]
            case Hello():
                return self._greeted(now, msg)
            case Goodbye(id=node):
                self.members.balancers.pop(node, None)
            case FlowAsked(flow=flow):
                return self._flows.finder.asked_by_name(now, flow, src)
            case FlowHeld(flow=flow, holder=holder):
                return self._flows.finder.found(now, flow, holder)
            case FlowUnknown(flow=flow):
                return self._flows.finder.denied(now, flow, src)
            case EntryMissing():
                self._registration.missing(now)
                return self._store_calls(now)
            case OtherService(report=report):
                self.members.apply_report(now, report, direct=True)
        return []

    def _greeted(self, now: Seconds, msg: Hello) -> list[RelayEffect]:
        if msg.id not in self.members.balancers:
            self._balancers.hurry()
        self.members.apply_hello(now, msg)
        self._journal.version = max(self._journal.version, msg.version)
        if msg.idle_s:
            self.neighbour.idle_s = msg.idle_s
        for report in msg.agents:
            if report.id == self._who.node:
                self._refute(report)
        known = len(self.members.of(self._ctx.service)) + 1
        if msg.service_size and known >= msg.service_size:
            self._ctx.introduced(now)
        return [*self._meet(now), *self._tell(now)]

    def _meet(self, now: Seconds) -> list[RelayEffect]:
        """Tell agents of the own service that are new."""
        came = [
            report.id
            for report in self.members.pop_new_agents()
            if report.service == self._ctx.service
        ]
        if not came:
            return []
        own = self.report(now)
        return [Send(node, own) for node in came]

    def _refute(self, report: AgentReport) -> None:
        """Outdo what an earlier process at this address has said."""
        if report.incarnation > self._incarnation:
            self._incarnation = report.incarnation + 1
            self._peers.hurry()
            self._balancers.hurry()

    def _tick(self, now: Seconds) -> list[RelayEffect]:
        stood_s = self._standstill.ticked(now)
        if stood_s:
            self.neighbour.resumed_after_pause(stood_s)
            self.members.resumed_after_pause(now, stood_s)
        effects = self._changed(now)
        if self.neighbour.server is None and now >= self._probe_at:
            self._probe_at = now + PROBE_EVERY_S
            effects.append(ProbeServer())
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_EVERY_S
            self.members.expire(now)
            effects += self._flows.expire(now, self.neighbour.idle_s)
        effects += self._tell(now)
        effects += self._store_calls(now)
        return effects

    def _tell(self, now: Seconds) -> list[RelayEffect]:
        peers = [m.report.id for m in self.members.of(self._ctx.service)]
        balancers = list(self.members.balancers) or list(self._seeds)

        def report() -> AgentReport:
            return self.report(now)

        return [
            *self._peers.due(now, peers, report),
            *self._balancers.due(now, balancers, report),
        ]

    def _register(self, report: AgentReport) -> None:
        if report.state in (AgentState.GONE, AgentState.STARTING):
            self._registration.want("")
            return
        lasting = msgspec.structs.replace(
            report, busy=0, waiting=0, flows=0, cold=False
        )
        self._registration.want(msgspec.json.encode(lasting).decode())

    def _store_calls(self, now: Seconds) -> list[RelayEffect]:
        self._registration.due(now)
        return list(self._access.due(now))
