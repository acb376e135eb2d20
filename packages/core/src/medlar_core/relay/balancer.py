"""Decisions of a balancer: which agent is asked about a packet.

Nothing depends on a balancer's memory: what it keeps of flows are hints
that save a hop.
"""

from typing import Any

from ..effects import Send
from ..events import Received
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from ..verdict import Reason
from .effects import FetchRoutes
from .effects import Pass
from .effects import RelayEffect
from .effects import ToCaller
from .event_factory import EventFactory
from .events import CallerSent
from .events import RoutesFetched
from .events import SeedsChanged
from .forwarded import ForwardedPacket
from .forwarded import ForwardReason
from .hello_sender import HelloSender
from .hints import Hints
from .members import heard
from .members import Members
from .messages import AgentReport
from .messages import AgentState
from .messages import EntryMissing
from .messages import FlowHeld
from .messages import Goodbye
from .messages import Hello
from .messages import LoadReport
from .messages import OtherService
from .messages import ReportAsked
from .owners import eligible
from .owners import Owners
from .registration import Registration
from .routes import Routes
from .routes import RouteTable
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec
from .standstill import Standstill
from .store_view import BalancerIdentity
from .store_view import RouteReader
from .store_view import StoreView

FETCH_AGAIN_S = 1.0
STAND_IN_S = 0.3
"""An owner unheard for longer may be away."""
CERTAIN_S = 6.0
"""An unknown address is refused if the configuration is this fresh."""

_SYN = int(Flag.SYN)


class RelayBalancer:
    """Reducer of a balancer."""

    def __init__(
        self,
        who: BalancerIdentity,
        codec: SegmentCodec,
        read_routes: RouteReader,
        access: StoreAccess,
        registration: Registration,
    ) -> None:
        self._codec = codec
        self.members = Members(who.node)
        self.routes = Routes()
        self.stopping = False
        self._journal = EventFactory(who.node)
        self._view = StoreView(
            who, read_routes, access, registration, self.members, self._journal
        )
        self._greeter = HelloSender(who, self.members, self.routes, self._view)
        self._hints = Hints()
        self._owners: dict[ServiceName, Owners] = {}
        self._changes = 0
        self._fetch_at = 0.0
        self._agreed_at = float("-inf")
        self._hears_agents = False
        self._standstill = Standstill()

    @property
    def is_ready(self) -> bool:
        """Whether this balancer can carry traffic."""
        return (
            self.routes.table is not None
            and self._hears_agents
            and not self.stopping
        )

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return figures of the moment by name."""
        told_at = max(self._view.followed_at, self._agreed_at)
        return {
            "hints": len(self._hints),
            "configuration_version": self.routes.version,
            "configuration_age_seconds": now - told_at,
            "store_failing": float(self._view.is_failing),
            **self.members.gauges(now),
        }

    def reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        """Take one event and return the effects to carry out."""
        match event:
            case CallerSent(segment=segment):
                return self._came(now, segment)
            case Received(src=src, msg=msg):
                return self._received(now, src, msg)
            case Tick():
                return self._tick(now)
            case StoreAnswered():
                return self._answered(now, event)
            case RoutesFetched(table=table, src=src):
                return self._took(now, table, f"balancer {src}")
            case SeedsChanged(seeds=seeds):
                self._greeter.seeds = seeds
            case StopAsked():
                self.stopping = True
                self._view.stop()
                return list(self._greeter.goodbye())
        return []

    # Packets

    def _came(self, now: Seconds, segment: Segment) -> list[RelayEffect]:
        flow_id = segment.inward
        services = self.routes.services(flow_id)
        if not services:
            return self._unknown_address(now, segment)
        dst = self._hinted(now, flow_id, segment)
        if dst is None:
            owners = self._owners.get(services[0])
            if owners is None or not owners.ids:
                return [self._dropped(segment, services[0], Reason.NO_SERVER)]
            ranked = owners.ranked(flow_id.key)
            dst = self._heard_first(now, ranked, segment)
        is_new = bool(segment.flags & _SYN)
        wrapped = ForwardedPacket(
            int(ForwardReason.ROUTED),
            services[0],
            segment.data,
            (),
            services[1:],
            low_priority=is_new
            and self.routes.low_priority(flow_id, services[0]),
        )
        if not is_new:
            return [Pass(dst, wrapped)]
        note = self._journal.flow(
            Topic.PLACEMENT,
            f"flows: new, copy {segment.ack}, asked its owner",
            flow_id,
            services[0],
            dst,
        )
        return [Pass(dst, wrapped), note]

    def _hinted(
        self, now: Seconds, flow_id: FlowId, segment: Segment
    ) -> NodeId | None:
        """Return the agent that holds an open flow, if it is known."""
        if segment.flags & _SYN:
            self._hints.forget(flow_id)
            return None
        holder = self._hints.get(flow_id)
        if holder is None:
            return None
        member = self.members.agents.get(holder)
        if member is None:
            self._hints.forget(flow_id)
            return None
        return holder

    def _heard_first(
        self, now: Seconds, ranked: tuple[NodeId, ...], segment: Segment
    ) -> NodeId:
        """Return the owner, or its stand-in if the owner may be away.

        A repeated SYN says that the first one was not answered.
        """
        repeated = segment.flags & _SYN and segment.ack
        if not repeated or len(ranked) < 2:
            return ranked[0]
        owner = self.members.agents.get(ranked[0])
        if owner is None or owner.is_silent(now, STAND_IN_S):
            return ranked[1]
        return ranked[0]

    def _unknown_address(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        flow_id = segment.inward
        fresh = max(self._view.followed_at, self._agreed_at)
        certain = now - fresh <= CERTAIN_S
        if not segment.flags & _SYN or not certain:
            return [self._dropped(segment, "", Reason.UNKNOWN_ADDRESS)]
        note = self._journal.flow(
            Topic.PACKET,
            "flows: refused",
            flow_id,
            why=Reason.UNKNOWN_ADDRESS,
        )
        data = self._codec.reset(flow_id, segment.ack)
        return [ToCaller(flow_id.caller, data), note]

    def _dropped(
        self, segment: Segment, service: str, why: Reason
    ) -> RelayEffect:
        return self._journal.flow(
            Topic.PACKET, "flows: dropped", segment.inward, service, why=why
        )

    # Other processes

    def _received(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[RelayEffect]:
        match msg:
            case AgentReport():
                self.members.apply_report(now, msg, direct=msg.id == src)
            case LoadReport():
                if self.members.apply_load(now, src, msg):
                    return []
                return [Send(src, ReportAsked())]
            case OtherService(report=report):
                self.members.apply_report(now, report, direct=True)
            case Hello():
                return self._greeted(now, msg)
            case EntryMissing():
                self._view.entry_missing(now)
                return self._store_calls(now)
            case FlowHeld(flow=flow, holder=holder):
                self._hints.take(flow, holder)
                return []
            case Goodbye(id=node):
                self.members.balancers.pop(node, None)
        return self._update(now)

    def _greeted(self, now: Seconds, msg: Hello) -> list[RelayEffect]:
        followed_at = now - msg.followed_s
        self.members.apply_hello(now, msg)
        self.members.followed_at[msg.id] = followed_at
        effects = self._update(now)
        if msg.version == self.routes.version:
            self._agreed_at = max(self._agreed_at, followed_at)
        if msg.version > self.routes.version and now >= self._fetch_at:
            self._fetch_at = now + FETCH_AGAIN_S
            effects.append(FetchRoutes(msg.id))
        return effects

    def _tick(self, now: Seconds) -> list[RelayEffect]:
        stood_s = self._standstill.ticked(now)
        if stood_s:
            self.members.resumed_after_pause(now, stood_s)
        effects: list[RelayEffect] = [
            self._journal.state_event(
                Topic.MEMBERSHIP,
                "members: agent is gone",
                report.service,
                report.id,
            )
            for report in self.members.expire(now)
        ]
        effects += self._view.tell_missing(now)
        self._refresh(now)
        return [*effects, *self._greet(now), *self._store_calls(now)]

    def _greet(self, now: Seconds) -> list[RelayEffect]:
        if self.stopping:
            return []
        return list(self._greeter.due(now, self._owners))

    def _store_calls(self, now: Seconds) -> list[RelayEffect]:
        return list(self._view.due(now, self.stopping))

    # The configuration

    def _answered(
        self, now: Seconds, event: StoreAnswered
    ) -> list[RelayEffect]:
        told = self._view.answered(now, event)
        effects = told.effects
        for table in told.tables:
            effects += self._took(now, table, "the store")
        effects += self._update(now)
        return effects + self._store_calls(now)

    def _took(
        self, now: Seconds, table: RouteTable, whence: str
    ) -> list[RelayEffect]:
        old = self.routes.version
        if not self.routes.take(table):
            return []
        self._journal.version = table.version
        note = self._journal.state_event(
            Topic.CONFIGURATION,
            f"configuration: in force, {len(table.routes)} routes, "
            f"was version {old}, from {whence}",
        )
        return [note, *self._greeter.tell_balancers(now)]

    # Which agent is asked

    def _update(self, now: Seconds) -> list[RelayEffect]:
        if self.members.changes == self._changes:
            return []
        self._changes = self.members.changes
        self._refresh(now)
        if self.stopping:
            return []
        return list(self._greeter.newcomers(now))

    def _refresh(self, now: Seconds) -> None:
        """Rank the agents of each service anew if they changed."""
        ready = [
            member
            for member in self.members.agents.values()
            if member.report.state is AgentState.READY
        ]
        self._hears_agents = 2 * len(heard(ready, now)) >= max(1, len(ready))
        services = {m.report.service for m in self.members.agents.values()}
        owners: dict[ServiceName, Owners] = {}
        for service in services:
            ids = eligible(now, self.members.of(service))
            known = self._owners.get(service)
            if known is not None and known.ids == tuple(sorted(ids)):
                owners[service] = known
            else:
                owners[service] = Owners(ids)
        self._owners = owners
