"""Reducer of a balancer: chooses the agent that each packet is sent to.

A balancer keeps no state that correctness depends on: its hints of where
flows are held only save a hop.
"""

from typing import Any

from ..effects import Send
from ..events import Received
from ..events import StopAsked
from ..events import StoreAnswered
from ..events import Tick
from ..ids import NodeId
from ..ids import Seconds
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from .configuration.compact import CompactRoutes
from .configuration.pending_routes import FROM_STORE
from .configuration.pending_routes import PendingRoutes
from .configuration.route_sources import RouteSources
from .configuration.routes import Routes
from .configuration.routes import RouteTable
from .configuration.scope_queries import ScopeQueries
from .configuration.scope_record import share
from .configuration.scope_record import SharedRoutes
from .configuration.scope_store import ScopeStore
from .early_packets import EarlyPackets
from .effects import FetchRoutes
from .effects import RelayEffect
from .event_factory import EventFactory
from .events import CallerPacketReceived
from .events import RoutesFetched
from .events import RoutesFetchFailed
from .events import SeedsChanged
from .hello_sender import HelloSender
from .lookup.owners import OwnerRanking
from .member import NEVER
from .members import Members
from .members import RemovalCause
from .messages import AgentReport
from .messages import EntryMissing
from .messages import FlowHeld
from .messages import Goodbye
from .messages import Hello
from .messages import LoadReport
from .messages import MembersAsked
from .messages import OtherService
from .messages import ReportAsked
from .messages import ScopeAsked
from .messages import ScopeTold
from .packet_router import PacketRouter
from .pause_detector import PauseDetector
from .registration import Registration
from .segment import Segment
from .segment import SegmentCodec
from .store_view import BalancerIdentity
from .store_view import RouteReader
from .store_view import StoreView
from .zones.evacuation import EvacuatedPlaces
from .zones.known_evacuation import KnownEvacuation

EXPIRE_INTERVAL_S = 1.0
STORE_LOST_S = 4.0
"""The store is lost if no balancer has read the configuration for longer."""
PEER_HEARD_S = 2.5
"""Balancers that miss the store send hello messages more often than this."""
RANK_INTERVAL_S = 0.3
"""Time between two looks at which agents are silent; changes of the
membership are applied at once."""


class RelayBalancer:
    """Handles the events of one balancer and returns effects."""

    def __init__(
        self,
        identity: BalancerIdentity,
        codec: SegmentCodec,
        read_routes: RouteReader,
        access: StoreAccess,
        registration: Registration,
    ) -> None:
        self.members = Members(identity.node)
        self.routes = Routes()
        self._scopes = ScopeStore(access, identity.record)
        self._pending_routes = PendingRoutes(self._scopes)
        self._scope_queries = ScopeQueries()
        self.stopping = False
        self._event_factory = EventFactory(identity.node)
        self._view = StoreView(
            identity,
            read_routes,
            access,
            registration,
            self.members,
            self._scopes,
            self._event_factory,
        )
        self._evacuates = bool(identity.evacuations)
        self._evacuation = KnownEvacuation()
        self._hello_sender = HelloSender(
            identity, self.members, self.routes, self._view, self._evacuation
        )
        self._owners = OwnerRanking(self.members)
        self._router = PacketRouter(
            codec,
            self.members,
            self.routes,
            self._scopes,
            self._owners,
            self._event_factory,
            self._is_store_lost,
        )
        self._seen_changes = 0
        self._route_sources = RouteSources(identity.node, self.members)
        self._compact_routes = CompactRoutes()
        self._peer_confirmed_at = float("-inf")
        self._early_packets = EarlyPackets()
        self._expire_at = 0.0
        self._rank_at = 0.0
        self._pause_detector = PauseDetector()

    @property
    def is_ready(self) -> bool:
        """Whether this balancer can forward traffic."""
        return (
            self.routes.table is not None
            and self._owners.has_agent_reports
            and not self.stopping
        )

    @property
    def shared_routes(self) -> SharedRoutes | None:
        """What other balancers may fetch, None before it is known."""
        if self.routes.table is None:
            return None
        return share(
            self.routes.table, self._scopes.stored, self._evacuation.current
        )

    @property
    def compact_routes(self) -> bytes:
        """The same in its compact form, empty before it is known."""
        if self.routes.table is None:
            return b""
        return self._compact_routes.encode(
            self.routes.table, self._scopes.stored, self._evacuation.current
        )

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return the current gauge values by metric name."""
        return {
            "hints": len(self._router.hints),
            "packets_held": len(self._early_packets),
            "scope_queries": len(self._scope_queries),
            "configuration_version": self.routes.version,
            "configuration_age_seconds": now - self._config_confirmed_at,
            "configuration_fetches": float(
                self._route_sources.fetching_from(now) is not None
            ),
            "store_failing": float(self._view.is_failing),
            "places_evacuated": len(self._evacuation.current.places),
            **self.members.gauges(now),
        }

    def reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        """Handle one event and return the effects to carry out."""
        effects = self._reduce(now, event)
        if self._early_packets and self._can_forward:
            for segment in self._early_packets.pop_all(now):
                effects += self._handle_packet(now, segment)
            effects += self._early_packets_event()
        return effects

    def _early_packets_event(self) -> list[RelayEffect]:
        dropped = self._early_packets.pop_dropped()
        if not dropped:
            return []
        text = f"input: discarded {dropped} packets held for too long"
        event = self._event_factory.state_event(
            Topic.PROCESS, text, reason="stale"
        )
        return [event]

    def _handle_packet(
        self, now: Seconds, segment: Segment
    ) -> list[RelayEffect]:
        return self._router.handle_packet(
            now, segment, self._config_confirmed_at
        )

    @property
    def _config_confirmed_at(self) -> float:
        """When the configuration was last known to be the newest."""
        return max(self._view.config_confirmed_at, self._peer_confirmed_at)

    @property
    def _can_forward(self) -> bool:
        """Whether a route table and the agents are known."""
        if self.routes.table is None:
            return False
        return self._view.has_read_entries or bool(self._owners.by_service)

    def _reduce(self, now: Seconds, event: Any) -> list[RelayEffect]:
        match event:
            case CallerPacketReceived(segment=segment):
                if self._can_forward:
                    return self._handle_packet(now, segment)
                self._early_packets.add(now, segment)
            case Received(src=src, msg=msg):
                return self._handle_message(now, src, msg)
            case Tick():
                return self._handle_tick(now)
            case StoreAnswered():
                return self._handle_store_answer(now, event)
            case RoutesFetched():
                return self._handle_routes(now, event)
            case RoutesFetchFailed(src=src):
                self._route_sources.record_result(now, src, is_newer=False)
                return self._fetch_routes(now)
            case SeedsChanged(seeds=seeds):
                self._hello_sender.seeds = seeds
            case StopAsked():
                self.stopping = True
                self._view.stop()
                return list(self._hello_sender.goodbyes())
        return []

    # Other processes

    def _handle_message(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[RelayEffect]:
        self.members.record_message(now, src)
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
                return self._handle_hello(now, msg)
            case ScopeAsked(flow=flow):
                self._scope_queries.add(now, src, flow)
                if not self._scopes.is_confirmed(now):
                    self._scopes.refresh(now)
                return [
                    *self._answer_scope_queries(now),
                    *self._store_calls(now),
                ]
            case MembersAsked(service=service):
                return list(
                    self._hello_sender.hellos_with_members(now, src, service)
                )
            case EntryMissing():
                self._view.handle_missing_entry(now)
                return self._store_calls(now)
            case FlowHeld(flow=flow, holder=holder):
                self._router.hints.put(flow, holder)
                return []
            case Goodbye(id=node):
                self.members.balancers.pop(node, None)
        return self._handle_membership_changes(now)

    def _handle_hello(self, now: Seconds, msg: Hello) -> list[RelayEffect]:
        config_confirmed_at = now - msg.config_age_s
        self.members.apply_hello(now, msg)
        sender = self.members.balancers.get(msg.id)
        if sender is not None:
            sender.config_confirmed_at = config_confirmed_at
            sender.version = msg.version
        effects = self._handle_membership_changes(now)
        if msg.version == self.routes.version:
            self._peer_confirmed_at = max(
                self._peer_confirmed_at, config_confirmed_at
            )
        copied = self._view.copied_table(msg.version)
        if copied is not None:
            effects += self._offer_routes(now, copied, f"balancer {msg.id}")
        source = f"balancer {msg.id}"
        effects += self._learn_places(now, msg.evacuated, source)
        return effects + self._fetch_routes(now)

    def _learn_places(
        self, now: Seconds, found: EvacuatedPlaces, source: str
    ) -> list[RelayEffect]:
        """Apply which places are evacuated, and tell others of a change."""
        change = self._evacuation.learn(found) if self._evacuates else None
        if change is None:
            return []
        self.members.apply_evacuated(found)
        self._rank_agents(now)
        effects: list[RelayEffect] = [
            self._event_factory.evacuation_event(change, source)
        ]
        if self.stopping:
            return effects
        if source == FROM_STORE and (change.evacuated or change.taken_back):
            effects += self._hello_sender.hellos_to_balancers(now)
        return effects + list(
            self._hello_sender.hellos_of_evacuation(now, change)
        )

    def _handle_tick(self, now: Seconds) -> list[RelayEffect]:
        pause_s = self._pause_detector.record_tick(now)
        if pause_s:
            self.members.exclude_pause(now, pause_s)
        self.members.apply_named(now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_INTERVAL_S
            self.members.expire(now)
        removals = self.members.pop_removals()
        if any(removal.cause is RemovalCause.SILENT for removal in removals):
            self._hello_sender.make_due_for_agents()
        effects: list[RelayEffect] = [
            self._event_factory.removal_event(removal) for removal in removals
        ]
        effects += self._view.notify_unregistered(now)
        effects += self.members.pop_requests(now)
        if now >= self._rank_at:
            self._rank_agents(now)
        effects += self._put_in_force(now)
        effects += self._fetch_routes(now)
        effects += self._answer_scope_queries(now)
        return [*effects, *self._send_hellos(now), *self._store_calls(now)]

    def _send_hellos(self, now: Seconds) -> list[RelayEffect]:
        if self.stopping:
            return []
        return list(self._hello_sender.due(now))

    def _store_calls(self, now: Seconds) -> list[RelayEffect]:
        return list(self._view.due(now, self.stopping))

    # Configuration

    def _handle_store_answer(
        self, now: Seconds, event: StoreAnswered
    ) -> list[RelayEffect]:
        update = self._view.handle_answer(now, event)
        effects = update.effects
        if update.evacuated is not None:
            effects += self._learn_places(now, update.evacuated, FROM_STORE)
        for table in update.tables:
            effects += self._offer_routes(now, table, FROM_STORE)
        effects += self._put_in_force(now)
        effects += self._answer_scope_queries(now)
        effects += self._handle_membership_changes(now)
        return effects + self._store_calls(now)

    def _answer_scope_queries(self, now: Seconds) -> list[RelayEffect]:
        """Reply to the agents whose queries the store has answered."""
        if not self._scope_queries:
            return []
        is_store_lost = self._is_store_lost(now)
        effects: list[RelayEffect] = []
        for agent, flow_id in self._scope_queries.pop_confirmed(
            now,
            lambda asked_at: (
                self._scopes.is_confirmed(asked_at) or is_store_lost
            ),
        ):
            scope = self._router.full_scope(now, flow_id)
            if scope is not None:
                effects.append(Send(agent, ScopeTold(flow_id, scope)))
        return effects

    def _is_store_lost(self, now: Seconds) -> bool:
        """Return whether no balancer reads the store, and none knows more.

        No service can have been recorded since. Most balancers have to be
        heard, as one that is cut off from them does not know of theirs.
        """
        if self._scopes.stored is None:
            return False
        peers = list(self.members.balancers.values())
        confirmed_at = max(
            self._config_confirmed_at,
            *(peer.config_confirmed_at for peer in peers),
            NEVER,
        )
        if now - confirmed_at <= STORE_LOST_S:
            return False
        if any(peer.version > self.routes.version for peer in peers):
            return False
        heard = sum(now - peer.heard_at <= PEER_HEARD_S for peer in peers)
        return 2 * heard >= len(peers)

    @property
    def _known_version(self) -> int:
        """The newest version here, which may not be in force yet."""
        return max(self.routes.version, self._pending_routes.version)

    def _fetch_routes(self, now: Seconds) -> list[RelayEffect]:
        """Fetch a newer version from another balancer, if one has it."""
        source = self._route_sources.next(now, self._known_version)
        return [] if source is None else [FetchRoutes(source)]

    def _handle_routes(
        self, now: Seconds, event: RoutesFetched
    ) -> list[RelayEffect]:
        is_newer = event.table.version > self._known_version
        self._route_sources.record_result(now, event.src, is_newer)
        if event.record is not None:
            self._scopes.learn(now, event.record)
        source = f"balancer {event.src}"
        effects = [
            *self._learn_places(now, event.evacuated, source),
            *self._offer_routes(now, event.table, source),
        ]
        return effects + self._fetch_routes(now)

    def _offer_routes(
        self, now: Seconds, table: RouteTable, source: str
    ) -> list[RelayEffect]:
        """Put a newer configuration in force, once its services are recorded.

        Repeated offers of one version have no effect.
        """
        if table.version <= self.routes.version:
            return []
        self._pending_routes.offer(now, table, source)
        return self._put_in_force(now)

    def _put_in_force(self, now: Seconds) -> list[RelayEffect]:
        ready = self._pending_routes.pop_ready(now)
        if ready is None:
            return []
        table, source, is_recorded = ready
        old = self.routes.version
        if not self.routes.apply(table):
            return []
        self._event_factory.version = table.version
        text = ""
        if not is_recorded:
            self._scopes.hold_back(table)
            text = ", its services are not recorded"
        event = self._event_factory.state_event(
            Topic.CONFIGURATION,
            f"configuration: in force with {len(table.routes)} routes, "
            f"replaces version {old}, received from {source}{text}",
        )
        if source != FROM_STORE or self.stopping:
            return [event]
        return [event, *self._hello_sender.hellos_to_balancers(now)]

    def _handle_membership_changes(self, now: Seconds) -> list[RelayEffect]:
        effects: list[RelayEffect] = []
        if not self.stopping:
            effects += self._hello_sender.hellos_to_new_balancers(now)
        if self.members.changes == self._seen_changes:
            return effects
        self._seen_changes = self.members.changes
        self._rank_agents(now)
        if not self.stopping:
            effects += self._hello_sender.hellos_to_new_agents(now)
        return effects

    def _rank_agents(self, now: Seconds) -> None:
        self._rank_at = now + RANK_INTERVAL_S
        self._owners.update(now)
