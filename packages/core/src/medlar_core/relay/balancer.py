"""Decisions of a balancer: which agent is asked about a packet.

Nothing depends on a balancer's memory: what it keeps of flows are hints
that save a hop.
"""

from collections.abc import Callable
import random
from typing import Any

import msgspec

from ..effects import Send
from ..events import Received
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..packets import Flag
from ..store import Item
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from ..verdict import Reason
from .effects import FetchRoutes
from .effects import Pass
from .effects import RelayEffect
from .effects import ToCaller
from .events import CallerSent
from .events import RoutesFetched
from .events import SeedsChanged
from .hints import Hints
from .journal import Journal
from .members import heard
from .members import Members
from .messages import AgentReport
from .messages import AgentState
from .messages import EntryMissing
from .messages import FlowHeld
from .messages import Goodbye
from .messages import Hello
from .messages import OtherService
from .owners import eligible
from .owners import Owners
from .pace import Pace
from .registration import Registration
from .routes import Routes
from .routes import RouteTable
from .segment import FlowId
from .segment import Segment
from .segment import SegmentCodec
from .watching import Change
from .watching import Following
from .watching import Read
from .wrapped import Why
from .wrapped import Wrapped

HELLO_EVERY_S = 1.0
HELLO_AGENTS = 16
"""Reports in one greeting; the rest follow in the next ones."""
CONFIGURATION_WAIT_S = 2.0
"""A watch that hangs hides a change for no longer than this and the
limit of a call."""
MEMBERS_WAIT_S = 20.0
WATCHERS = 3
"""Balancers that follow the store; they tell the others."""
WATCHER_HEARD_S = 2.5
WATCHER_FOLLOWED_S = 4.0
"""A balancer that was not heard, or did not hear the store, for longer is
taken to watch nothing."""
FETCH_AGAIN_S = 1.0
CERTAIN_S = 6.0
"""An unknown address is refused if the configuration is this fresh."""

_SYN = int(Flag.SYN)


class BalancerIdentity(msgspec.Struct, frozen=True):
    """Who a balancer is, and where the store keeps what it reads.

    ``agents`` and ``balancers`` are prefixes under ``members``.
    """

    node: NodeId
    place: PlaceName
    seeds: tuple[NodeId, ...]
    configuration: str
    members: str
    agents: str
    balancers: str


RouteReader = Callable[[str], RouteTable]
"""Reads the operators' configuration; raises ValueError if it can't."""


class RelayBalancer:
    """Reducer of a balancer."""

    def __init__(
        self,
        who: BalancerIdentity,
        codec: SegmentCodec,
        read_routes: RouteReader,
        access: StoreAccess,
        registration: Registration,
        rng: random.Random,
    ) -> None:
        self._who = who
        self._seeds = who.seeds
        self._codec = codec
        self._read_routes = read_routes
        self._access = access
        self._registration = registration
        self._rng = rng
        self.members = Members(who.node)
        self.routes = Routes()
        self._journal = Journal(who.node)
        self._owners: dict[ServiceName, Owners] = {}
        self._configuration = Following(
            access,
            Part.CONFIGURATION,
            who.configuration,
            CONFIGURATION_WAIT_S,
        )
        self._entries = Following(
            access, Part.MEMBERS, who.members, MEMBERS_WAIT_S
        )
        self._pace = Pace(HELLO_EVERY_S)
        self._hints = Hints()
        self._present: set[str] = set()
        self._changes = 0
        self._told = 0
        self._fetch_at = 0.0
        self._agreed_at = float("-inf")
        self._hears_agents = False
        self.stopping = False

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
        told_at = max(self._configuration.fresh_at, self._agreed_at)
        return {
            "hints": len(self._hints),
            "configuration_version": self.routes.version,
            "configuration_age_seconds": now - told_at,
            "store_failing": float(self._access.failing),
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
                self._seeds = seeds
            case StopAsked():
                self.stopping = True
                self._registration.want("")
                return self._goodbye()
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
        wrapped = Wrapped(
            int(Why.ROUTED),
            services[0],
            segment.data,
            (),
            services[1:],
        )
        if not segment.flags & _SYN:
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
        fresh = max(self._configuration.fresh_at, self._agreed_at)
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
                self.members.take_report(now, msg, direct=msg.id == src)
            case OtherService(report=report):
                self.members.take_report(now, report, direct=True)
            case Hello():
                return self._greeted(now, msg)
            case EntryMissing():
                self._registration.missing(now)
                return self._store_calls(now)
            case FlowHeld(flow=flow, holder=holder):
                self._hints.take(flow, holder)
                return []
            case Goodbye(id=node):
                self.members.balancers.pop(node, None)
        return self._update(now)

    def _greeted(self, now: Seconds, msg: Hello) -> list[RelayEffect]:
        followed_at = now - msg.followed_s
        self.members.take_balancer(now, msg.id, msg.place)
        self.members.followed_at[msg.id] = followed_at
        for peer in msg.peers:
            self.members.learn_balancer(now, peer)
        for departed in msg.departed:
            self.members.take_departed(now, departed)
        for report in msg.agents:
            self.members.take_report(now, report, direct=False)
        effects = self._update(now)
        if msg.version == self.routes.version:
            self._agreed_at = max(self._agreed_at, followed_at)
        if msg.version > self.routes.version and now >= self._fetch_at:
            self._fetch_at = now + FETCH_AGAIN_S
            effects.append(FetchRoutes(msg.id))
        return effects

    def _tick(self, now: Seconds) -> list[RelayEffect]:
        effects: list[RelayEffect] = [
            self._journal.belief(
                Topic.MEMBERSHIP,
                "members: agent is gone",
                report.service,
                report.id,
            )
            for report in self.members.expire(now)
        ]
        if self._watches(now) and self._entries.fresh_at > float("-inf"):
            effects += self._tell_missing(now)
        self._refresh(now)
        effects += self._hello(now)
        if not self.stopping:
            self._registration.want(self._who.node)
        return effects + self._store_calls(now)

    def _store_calls(self, now: Seconds) -> list[RelayEffect]:
        if not self.stopping and self._watches(now):
            self._configuration.due(now)
            self._entries.due(now)
        self._registration.due(now)
        return list(self._access.due(now))

    def _watches(self, now: Seconds) -> bool:
        """Return whether this balancer is one that follows the store.

        Each does until it has read all once.
        """
        never = float("-inf")
        if never in (self._entries.fresh_at, self._configuration.fresh_at):
            return True
        members = self.members
        before = sum(
            1
            for node, at in members.balancers.items()
            if node < self._who.node
            and now - at <= WATCHER_HEARD_S
            and now - members.followed_at.get(node, never)
            <= WATCHER_FOLLOWED_S
        )
        return before < WATCHERS

    def _hello(self, now: Seconds) -> list[RelayEffect]:
        peers = list(self.members.balancers) or list(self._seeds)
        agents = list(self.members.agents)
        told = len(agents) + len(peers)
        if self.stopping or not self._pace.due(now, told):
            return []
        effects: list[RelayEffect] = []
        for service in self._owners:
            members = self.members.of(service)
            hello = self._greeting(now, [m.report for m in members])
            effects += [Send(m.report.id, hello) for m in members]
        reports = [m.report for m in self.members.agents.values()]
        hello = self._greeting(now, reports)
        others = (node for node in peers if node != self._who.node)
        return effects + [Send(node, hello) for node in others]

    def _greeting(self, now: Seconds, reports: list[AgentReport]) -> Hello:
        start = 0
        if len(reports) > HELLO_AGENTS:
            start = self._told % len(reports)
            self._told += HELLO_AGENTS
        shown = (reports[start:] + reports[:start])[:HELLO_AGENTS]
        table = self.routes.table
        has_read = self._entries.fresh_at > float("-inf")
        return Hello(
            id=self._who.node,
            place=self._who.place,
            version=self.routes.version,
            agents=tuple(shown),
            peers=tuple(self.members.balancers),
            departed=self.members.departed(),
            idle_s=table.idle_s if table else 0.0,
            names_all=has_read and len(shown) == len(reports),
            followed_s=now - self._configuration.fresh_at,
        )

    def _goodbye(self) -> list[RelayEffect]:
        dsts = (*self.members.agents, *self.members.balancers)
        return [Send(node, Goodbye(self._who.node)) for node in dsts]

    # The store

    def _answered(
        self, now: Seconds, event: StoreAnswered
    ) -> list[RelayEffect]:
        effects: list[RelayEffect] = []
        if not self._registration.answered(now, event):
            effects += self._take_configuration(
                now, self._configuration.answered(now, event)
            )
            effects += self._take_entries(
                now, self._entries.answered(now, event)
            )
            effects += self._update(now)
        return effects + self._store_calls(now)

    def _take_configuration(
        self, now: Seconds, told: Read | Change | None
    ) -> list[RelayEffect]:
        if told is None:
            return []
        effects: list[RelayEffect] = []
        for item in told.items:
            if item.key != self._who.configuration:
                continue
            try:
                table = self._read_routes(item.value)
            except ValueError as exc:
                effects.append(
                    self._journal.belief(
                        Topic.CONFIGURATION,
                        f"configuration: unreadable: {exc}",
                        reason="unreadable",
                    )
                )
                continue
            effects += self._took(
                now, table, f"store revision {item.revision}"
            )
        return effects

    def _took(
        self, now: Seconds, table: RouteTable, whence: str
    ) -> list[RelayEffect]:
        old = self.routes.version
        if not self.routes.take(table):
            return []
        self._journal.version = table.version
        self._pace.hurry()
        note = self._journal.belief(
            Topic.CONFIGURATION,
            f"configuration: in force, {len(table.routes)} routes, "
            f"was version {old}, from {whence}",
        )
        return [note, *self._hello(now)]

    def _take_entries(
        self, now: Seconds, told: Read | Change | None
    ) -> list[RelayEffect]:
        if told is None:
            return []
        if isinstance(told, Read):
            self._present = set()
        for item in told.items:
            self._present.add(item.key)
            self._take_entry(now, item)
        if isinstance(told, Change):
            self._present.difference_update(told.deleted)
        return self._tell_missing(now)

    def _tell_missing(self, now: Seconds) -> list[RelayEffect]:
        """Note missing entries; tell the processes whose entries they are."""
        if self._who.balancers + self._who.node not in self._present:
            self._registration.missing(now)
        effects: list[RelayEffect] = []
        for node, member in self.members.agents.items():
            if self._who.agents + node in self._present:
                self.members.take_registered(node)
                continue
            if member.missing_at is None:
                effects.append(Send(node, EntryMissing()))
            self.members.take_missing(now, node)
        return effects

    def _take_entry(self, now: Seconds, item: Item) -> None:
        if item.key.startswith(self._who.balancers):
            node = NodeId(item.value)
            self.members.learn_balancer(now, node)
            return
        if not item.key.startswith(self._who.agents):
            return
        try:
            report = msgspec.json.decode(item.value, type=AgentReport)
        except msgspec.DecodeError:
            return  # another program's entry names no agent
        self.members.take_report(now, report, direct=False)
        self.members.take_registered(report.id)

    # Which agent is asked

    def _update(self, now: Seconds) -> list[RelayEffect]:
        if self.members.changes == self._changes:
            return []
        self._changes = self.members.changes
        self._pace.hurry()
        self._refresh(now)
        return self._hello(now)

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


STAND_IN_S = 0.3
"""An owner unheard for longer may be away."""
