"""What a balancer reads in the store, and its own entry there.

Three balancers that hear the store follow it and tell the others; each
reads all once when it starts.
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
from ..storeaccess.access import Part
from ..storeaccess.access import StoreAccess
from ..timeline.events import Topic
from .effects import RelayEffect
from .event_factory import EventFactory
from .members import Members
from .messages import AgentReport
from .messages import EntryMissing
from .registration import Registration
from .routes import RouteTable
from .store_watcher import Change
from .store_watcher import Snapshot
from .store_watcher import StoreWatcher

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

_NEVER = float("-inf")

RouteReader = Callable[[str], RouteTable]
"""Reads the operators' configuration; raises ValueError if it can't."""


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


class StoreUpdate(msgspec.Struct):
    """What an answer of the store told: tables, and effects of the rest."""

    tables: list[RouteTable]
    effects: list[RelayEffect]


class StoreView:
    """The store as one balancer sees it."""

    def __init__(
        self,
        who: BalancerIdentity,
        read_routes: RouteReader,
        access: StoreAccess,
        registration: Registration,
        members: Members,
        journal: EventFactory,
    ) -> None:
        self._who = who
        self._read_routes = read_routes
        self._access = access
        self._registration = registration
        self._members = members
        self._journal = journal
        self._present: set[str] = set()
        self._configuration = StoreWatcher(
            access,
            Part.CONFIGURATION,
            who.configuration,
            CONFIGURATION_WAIT_S,
        )
        self._entries = StoreWatcher(
            access, Part.MEMBERS, who.members, MEMBERS_WAIT_S
        )

    @property
    def followed_at(self) -> float:
        """When the store last told that no newer configuration is there."""
        return self._configuration.fresh_at

    @property
    def has_read_entries(self) -> bool:
        """Whether the entries of all agents were read once."""
        return self._entries.fresh_at > _NEVER

    @property
    def is_failing(self) -> bool:
        """Whether the store is held to be failing."""
        return self._access.failing

    def stop(self) -> None:
        """Remove the own entry."""
        self._registration.want("")

    def due(self, now: Seconds, stopping: bool) -> list[CallStore]:
        """Return the calls that go now."""
        if not stopping:
            self._registration.want(self._who.node)
            if self._watches(now):
                self._configuration.due(now)
                self._entries.due(now)
        self._registration.due(now)
        return self._access.due(now)

    def answered(self, now: Seconds, event: StoreAnswered) -> StoreUpdate:
        """Take an answer of the store."""
        told = StoreUpdate([], [])
        if self._registration.answered(now, event):
            return told
        self._take_configuration(
            self._configuration.answered(now, event), told
        )
        entries = self._entries.answered(now, event)
        if entries is not None:
            self._take_entries(now, entries, told)
            told.effects += self.tell_missing(now)
        return told

    def entry_missing(self, now: Seconds) -> None:
        """Take another's word that the own entry is missing."""
        self._registration.missing(now)

    def tell_missing(self, now: Seconds) -> list[RelayEffect]:
        """Note missing entries; tell the processes whose entries they are.

        Only a balancer that follows the store knows.
        """
        if not self.has_read_entries or not self._watches(now):
            return []
        if self._who.balancers + self._who.node not in self._present:
            self._registration.missing(now)
        effects: list[RelayEffect] = []
        for node, member in self._members.agents.items():
            if self._who.agents + node in self._present:
                self._members.take_registered(node)
                continue
            if member.missing_at is None:
                effects.append(Send(node, EntryMissing()))
            self._members.mark_unregistered(now, node)
        return effects

    def _watches(self, now: Seconds) -> bool:
        """Return whether this balancer is one that follows the store.

        Each does until it has read all once.
        """
        if _NEVER in (self._entries.fresh_at, self._configuration.fresh_at):
            return True
        members = self._members
        before = sum(
            1
            for node, at in members.balancers.items()
            if node < self._who.node
            and now - at <= WATCHER_HEARD_S
            and now - members.followed_at.get(node, _NEVER)
            <= WATCHER_FOLLOWED_S
        )
        return before < WATCHERS

    def _take_configuration(
        self, found: Snapshot | Change | None, told: StoreUpdate
    ) -> None:
        for item in found.items if found else ():
            if item.key != self._who.configuration:
                continue
            try:
                told.tables.append(self._read_routes(item.value))
            except ValueError as exc:
                text = f"configuration: unreadable: {exc}"
                told.effects.append(
                    self._journal.state_event(
                        Topic.CONFIGURATION, text, reason="unreadable"
                    )
                )

    def _take_entries(
        self, now: Seconds, found: Snapshot | Change, told: StoreUpdate
    ) -> None:
        if isinstance(found, Snapshot):
            self._present = set()
        else:
            self._present.difference_update(found.deleted)
        for item in found.items:
            self._present.add(item.key)
            self._take_entry(now, item, told)

    def _take_entry(self, now: Seconds, item: Item, told: StoreUpdate) -> None:
        if item.key.startswith(self._who.balancers):
            self._members.learn_balancer(now, NodeId(item.value))
            return
        if not item.key.startswith(self._who.agents):
            return
        try:
            report = msgspec.json.decode(item.value, type=AgentReport)
        except msgspec.DecodeError as exc:
            text = f"members: entry {item.key} names no agent: {exc}"
            told.effects.append(
                self._journal.state_event(
                    Topic.MEMBERSHIP, text, reason="unreadable"
                )
            )
            return
        self._members.apply_report(now, report, direct=False)
