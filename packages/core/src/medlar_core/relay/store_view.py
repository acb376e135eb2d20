"""What a balancer reads from the store, and its own entry there.

Three balancers that reach the store watch it and send what they read to the
others, which limits the load on the store. Every balancer reads all entries
once when it starts.
"""

from collections.abc import Callable

import msgspec

from ..effects import CallStore
from ..effects import Send
from ..events import StoreAnswered
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..store import Item
from ..store import Revision
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from .configuration.compact import RoutesCopy
from .configuration.copy_store import CopyStore
from .configuration.routes import RouteTable
from .configuration.scope_store import ScopeStore
from .effects import RelayEffect
from .event_factory import EventFactory
from .member import NEVER
from .members import Members
from .messages import AgentReport
from .messages import EntryMissing
from .registration import Registration
from .store_watcher import Change
from .store_watcher import Snapshot
from .store_watcher import StoreWatcher
from .zones.evacuation import EvacuatedPlaces
from .zones.evacuation_items import EvacuationItems

CONFIGURATION_WATCH_S = 2.0
"""Longest wait of one watch. A watch whose answer is lost delays a change by
this and the time limit of a call."""
MEMBERS_WATCH_S = 20.0
MEMBERS_PACE_S = 0.5
"""A release changes several entries a second, each of which would end the
watches of all watchers. Agents report these changes themselves."""
WATCHER_COUNT = 3
"""Balancers that watch the store for all."""
WATCHER_HELLO_TIMEOUT_S = 2.5
WATCHER_CONFIG_TIMEOUT_S = 4.0
"""A balancer isn't counted as a watcher if its last hello message, or the
last confirmation of its configuration by the store, is older."""

WATCHER_STAGGER_S = 0.2
"""Added to both for each further balancer that could become a watcher: the
first one has sent its hello message by then."""

_NEVER_STARTED = float("inf")

RouteReader = Callable[[str], RouteTable]
"""Parses the operators' configuration; raises ValueError if it is invalid."""


class BalancerIdentity(msgspec.Struct, frozen=True):
    """A balancer's address and place, and the store keys that it uses.

    ``seeds`` are the processes contacted while no other is known.
    ``configuration`` is a key, ``members`` a prefix; ``agents`` and
    ``balancers`` are prefixes under ``members``, ``record`` and ``copy``
    are keys there. ``link_mbps`` is the balancer's link, 0 if unknown.
    ``evacuations`` is the prefix of the places that operators evacuate,
    empty if they cannot; ``operators`` covers it and ``configuration``.
    """

    node: NodeId
    place: PlaceName
    seeds: tuple[NodeId, ...]
    configuration: str
    members: str
    agents: str
    balancers: str
    record: str
    copy: str
    link_mbps: float = 0.0
    operators: str = ""
    evacuations: str = ""

    @property
    def watched(self) -> str:
        """What one watch has to cover for all that operators write."""
        if self.evacuations:
            return self.operators
        return self.configuration


class StoreUpdate(msgspec.Struct):
    """Result of an answer of the store: new route tables and effects.

    ``evacuated`` are the evacuated places, None if it does not tell.
    """

    tables: list[RouteTable]
    effects: list[RelayEffect]
    evacuated: EvacuatedPlaces | None = None


class StoreView:
    """Reads configuration and entries, and keeps the balancer's own entry."""

    def __init__(
        self,
        identity: BalancerIdentity,
        read_routes: RouteReader,
        access: StoreAccess,
        registration: Registration,
        members: Members,
        scopes: ScopeStore,
        event_factory: EventFactory,
    ) -> None:
        self._identity = identity
        self._scopes = scopes
        self._read_routes = read_routes
        self._access = access
        self._registration = registration
        self._members = members
        self._event_factory = event_factory
        self._copy = CopyStore(access, identity.copy)
        self._entry_keys: set[str] = set()
        self._watching_since = 0.0
        self._compared: RoutesCopy | None = None
        """Copy of which the store is asked if it is of the newest
        configuration. The stored one may be lost meanwhile."""
        self._configuration = StoreWatcher(
            access,
            Part.CONFIGURATION,
            identity.watched,
            CONFIGURATION_WATCH_S,
        )
        self._evacuations = EvacuationItems(identity.evacuations)
        self._evacuations_listing = StoreWatcher(
            access, Part.CONFIGURATION, identity.evacuations, 0.0
        )
        self._entries = StoreWatcher(
            access,
            Part.MEMBERS,
            identity.members,
            MEMBERS_WATCH_S,
            MEMBERS_PACE_S,
        )

    @property
    def config_confirmed_at(self) -> float:
        """When the store last confirmed that the configuration is current."""
        return self._configuration.synced_at

    @property
    def has_read_entries(self) -> bool:
        """Whether the entries of all agents have been read at least once."""
        return self._entries.synced_at > NEVER

    @property
    def is_failing(self) -> bool:
        """Whether the store counts as unavailable."""
        return self._access.failing

    def is_watcher(self, now: Seconds) -> bool:
        """Return whether this balancer is one that watches the store.

        Every balancer is until it has read everything once. After that
        the first ``WATCHER_COUNT`` are, those with the widest links first
        and by address among equals, leaving out those that don't reach the
        store. The later in that order, the later a balancer takes the place
        of one that is silent.
        """
        if NEVER in (self._entries.synced_at, self._configuration.synced_at):
            return True
        return self._watchers_before(now) < WATCHER_COUNT

    def _watchers_before(self, now: Seconds) -> int:
        """Return how many watch the store before this one in the order."""
        own = (-self._identity.link_mbps, self._identity.node)
        before = [
            balancer
            for node, balancer in self._members.balancers.items()
            if (-balancer.link_mbps, node) < own
        ]
        queued = max(0, len(before) - WATCHER_COUNT)
        delay_s = queued * WATCHER_STAGGER_S
        return sum(
            now - balancer.heard_at <= WATCHER_HELLO_TIMEOUT_S + delay_s
            and now - balancer.config_confirmed_at
            <= WATCHER_CONFIG_TIMEOUT_S + delay_s
            for balancer in before
        )

    def copied_table(self, version: int) -> RouteTable | None:
        """Return a version if the copy in the store is of that one."""
        stored = self._copy.stored
        if stored is None or stored.table.version != version:
            return None
        return stored.table

    def stop(self) -> None:
        """Remove this balancer's entry from the store."""
        self._registration.set_entry("")

    def due(self, now: Seconds, stopping: bool) -> list[CallStore]:
        """Return the calls to the store that are due."""
        if not stopping:
            self._registration.set_entry(self._identity.node)
            is_watcher = self.is_watcher(now)
            if is_watcher:
                self._entries.due(now)
                self._read_configuration(now)
                self._copy.due(now, self._watchers_before(now))
            self._scopes.due(now, is_watcher)
        self._registration.issue_next_call(now)
        return self._access.due(now)

    def _read_configuration(self, now: Seconds) -> None:
        """Read what operators write, once entries and evacuations are known.

        The entries hold the copy, which may save a large transfer.
        """
        listing = self._evacuations_listing
        if self._identity.evacuations and not listing.is_answered:
            listing.due(now)
            return
        if not self._entries.is_answered:
            return
        if not self._configuration.is_answered:
            self._compare_copy()
        self._configuration.due(now)

    def handle_answer(self, now: Seconds, event: StoreAnswered) -> StoreUpdate:
        """Apply an answer of the store."""
        update = StoreUpdate([], [])
        self._scopes.handle_answer(now, event)
        self._copy.handle_answer(now, event)
        if self._registration.handle_answer(now, event):
            return update
        configuration = self._configuration.handle_answer(now, event)
        if configuration is not None:
            self._apply_configuration(now, configuration, update)
        listing = self._evacuations_listing
        places = listing.handle_answer(now, event)
        if places is not None:
            self._apply_evacuations(places, listing.revision, update)
        entries = self._entries.handle_answer(now, event)
        if entries is not None:
            self._apply_entries(now, entries, update)
            update.effects += self.notify_unregistered(now)
        self._report_unreadable(update)
        return update

    def _report_unreadable(self, update: StoreUpdate) -> None:
        for name, why in (
            ("scopes: stored record", self._scopes.pop_unreadable()),
            ("configuration: stored copy", self._copy.pop_unreadable()),
        ):
            if not why:
                continue
            update.effects.append(
                self._event_factory.state_event(
                    Topic.CONFIGURATION,
                    f"{name} ignored, not valid: {why}",
                    reason="unreadable",
                )
            )

    def handle_missing_entry(self, now: Seconds) -> None:
        """Handle a message that the store has no entry of this balancer."""
        self._registration.handle_missing_entry(now)

    def notify_unregistered(self, now: Seconds) -> list[RelayEffect]:
        """Record which agents have no entry, and notify them.

        Only a balancer that watches the store and hears from it does this.
        The entries that others have read are out of date, and so is what
        they have recorded before.
        """
        if not self._has_current_entries(now):
            return []
        if (
            self._identity.balancers + self._identity.node
            not in self._entry_keys
        ):
            self._registration.handle_missing_entry(now)
        effects: list[RelayEffect] = []
        for node, member in self._members.agents.items():
            if self._identity.agents + node in self._entry_keys:
                self._members.mark_registered(node)
                continue
            if member.unregistered_at is None:
                effects.append(Send(node, EntryMissing()))
            self._members.mark_unregistered(now, node)
        return effects

    def _has_current_entries(self, now: Seconds) -> bool:
        """Return whether entries were read since this balancer watches.

        When it stops watching, it forgets which entries were missing.
        """
        age_s = now - self.config_confirmed_at
        is_current = age_s <= WATCHER_CONFIG_TIMEOUT_S
        if not is_current or not self.is_watcher(now):
            if self._watching_since < _NEVER_STARTED:
                self._members.forget_unregistered()
            self._watching_since = _NEVER_STARTED
            return False
        self._watching_since = min(self._watching_since, now)
        return self._entries.synced_at >= self._watching_since

    def _apply_configuration(
        self, now: Seconds, result: Snapshot | Change, update: StoreUpdate
    ) -> None:
        """Use the operators' configuration, or the copy if it is current."""
        if self._compared is not None:
            if isinstance(result, Change):
                update.tables.append(self._compared.table)
            self._compared = None
            self._continue_from_listing()
        elif self._identity.evacuations:
            revision = self._configuration.revision
            self._apply_evacuations(result, revision, update)
        for item in result.items:
            if item.key != self._identity.configuration:
                continue
            try:
                table = self._read_routes(item.value)
                update.tables.append(table)
                self._copy.want(now, RoutesCopy(item.revision, table))
            except ValueError as exc:
                text = f"configuration: invalid, ignored: {exc}"
                update.effects.append(
                    self._event_factory.state_event(
                        Topic.CONFIGURATION, text, reason="unreadable"
                    )
                )

    def _continue_from_listing(self) -> None:
        """Watch for evacuations since they were listed.

        The listing is older than the comparison of the configuration.
        """
        if self._identity.evacuations:
            known = self._evacuations_listing.revision
            self._configuration.continue_from(
                min(known, self._configuration.revision)
            )

    def _apply_evacuations(
        self,
        result: Snapshot | Change,
        revision: Revision,
        update: StoreUpdate,
    ) -> None:
        update.evacuated = self._evacuations.apply(result, revision)
        for key in self._evacuations.pop_unreadable():
            text = f"places: {key} ignored, expected the name of one place"
            update.effects.append(
                self._event_factory.state_event(
                    Topic.MEMBERSHIP, text, reason="unreadable"
                )
            )

    def _apply_entries(
        self, now: Seconds, result: Snapshot | Change, update: StoreUpdate
    ) -> None:
        if isinstance(result, Snapshot):
            self._entry_keys = set()
            watcher = self._entries
            issued_at = Seconds(watcher.issued_at)
            revision = watcher.revision
            self._scopes.adopt(now, result, revision, issued_at)
            self._copy.update(result)
        else:
            self._copy.update(result)
            self._scopes.update(now, result)
            self._entry_keys.difference_update(result.deleted)
        for item in result.items:
            self._entry_keys.add(item.key)
            self._apply_entry(now, item, update)

    def _compare_copy(self) -> None:
        """Ask whether the copy is current, before any other is known."""
        stored = self._copy.stored
        listing = self._evacuations_listing
        if stored is None:
            return
        if self._identity.evacuations and listing.synced_at == NEVER:
            return
        key = self._identity.configuration
        self._configuration.expect(key, stored.revision)
        self._compared = stored

    def _apply_entry(
        self, now: Seconds, item: Item, update: StoreUpdate
    ) -> None:
        if item.key.startswith(self._identity.balancers):
            self._members.add_known_balancer(now, NodeId(item.value))
            return
        if not item.key.startswith(self._identity.agents):
            return
        try:
            report = msgspec.json.decode(item.value, type=AgentReport)
        except msgspec.DecodeError as exc:
            text = f"members: entry {item.key} is no valid agent report: {exc}"
            update.effects.append(
                self._event_factory.state_event(
                    Topic.MEMBERSHIP, text, reason="unreadable"
                )
            )
            return
        self._members.apply_report(now, report, direct=False)
