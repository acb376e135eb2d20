"""Detection of dead processes and unreachable places."""

import random

from ..effects import Effect
from ..effects import Send
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from .assign import assign
from .failure_detector import FailureDetector
from .failure_detector import INDIRECT_PROBE_ROUNDS
from .failure_detector import PLACE_CHECK_ROUND
from .failure_detector import ProbeRound
from .failure_detector import Unresponsive
from .messages import Heard
from .messages import Probe
from .messages import ProbeFor
from .places import Places
from .reachability import Reachability
from .record import Record
from .table import Table

PLACE_CHECKERS = 3
"""Balancers of each place that check the other places."""
PLACE_CHECK_S = 1.0
PLACE_CHECK_WAIT_S = 0.3
HELPERS = 2
RECENT_S = 0.6
"""A helper with a message this recent replies without a probe."""
ASSIGN_MEMBERS_PER_S = 5000.0


class Liveness:
    """Watches the processes assigned to this balancer, and all places.

    A process is declared dead only if others of its place replied since its
    last message: without them, the place may be unreachable instead.
    """

    def __init__(
        self, me: Record, table: Table, places: Places, rng: random.Random
    ) -> None:
        self._me = me.id
        self._place = me.place
        self._table = table
        self._places = places
        self._rng = rng
        self._detector = FailureDetector()
        self.reachability = Reachability(rng)
        self.watchers: dict[NodeId, tuple[NodeId, ...]] = {}
        self._assigned: tuple[int, tuple[PlaceName, ...]] | None = None
        self._known: tuple[Record, ...] | None = None
        self._known_unreachable: tuple[PlaceName, ...] = ()
        self._others: list[NodeId] = []
        self._next_assign = 0.0
        self._next_place_check = 0.0
        self._place_probes: dict[PlaceName, Seconds] = {}
        self._asked: dict[NodeId, dict[NodeId, None]] = {}

    def others(self) -> list[NodeId]:
        """Return the other balancers that can be reached."""
        known = self._table.balancers()
        if (
            known is not self._known
            or self.reachability.unreachable_places != self._known_unreachable
        ):
            self._known = known
            self._known_unreachable = self.reachability.unreachable_places
            found = self._reachable()
            self._others = [r.id for r in found if r.id != self._me]
        return self._others

    def same_place(self) -> list[NodeId]:
        """Return the balancers in the place of this balancer."""
        known = self._table.balancers()
        return [r.id for r in known if r.place == self._place]

    def peers_of(self, place: PlaceName) -> list[NodeId]:
        """Return the other balancers of a place, or of its region if none."""
        known = [r for r in self._table.balancers() if r.id != self._me]
        region = self._places.region(place)
        same = [r.id for r in known if r.place == place]
        same_place = [
            r.id for r in known if self._places.region(r.place) == region
        ]
        return same or same_place

    def paused(self, now: Seconds) -> None:
        """Reset timers: this process received nothing during its pause."""
        self._detector.paused(now)
        self.reachability.paused(now)
        self._place_probes = {}
        self._asked = {}

    def regions_changed(self) -> None:
        """Recompute the assignment at the next tick."""
        self._assigned = None

    def record_message(self, now: Seconds, src: NodeId) -> bool:
        """Record a message; return whether its place is reachable again."""
        self._detector.record_message(now, src)
        record = self._table.live.get(src)
        if record is None or not self.reachability.record_message(
            now, record.place
        ):
            return False
        self._detector.reset(now, self._table.in_place(record.place))
        return True

    def record_heartbeat(self, now: Seconds, src: NodeId) -> None:
        """Record a heartbeat."""
        self._detector.record_heartbeat(now, src)

    def on_heard(self, now: Seconds, msg: Heard) -> None:
        """Record the result of an indirect probe."""
        age = min(max(msg.age, 0.0), RECENT_S)
        self._detector.record_message(now, msg.target, age)

    def probe_for(
        self, now: Seconds, requester: NodeId, target: NodeId
    ) -> list[Effect]:
        """Probe a process on behalf of another balancer."""
        age = self._detector.age(now, target)
        if age <= RECENT_S:
            return [Send(requester, Heard(target, round(age, 2)))]
        if target not in self._table.live:
            return []
        self._asked.setdefault(target, {})[requester] = None
        return [Send(target, Probe())]

    def on_probe_ack(self, target: NodeId) -> list[Effect]:
        """Notify the requesters of an indirect probe of its reply."""
        requesters = self._asked.pop(target, {})
        return [
            Send(requester, Heard(target, 0.0)) for requester in requesters
        ]

    def reassign(self, now: Seconds) -> None:
        """Recompute the assignment if members or reachable places changed."""
        version = (
            self._table.members_version,
            self.reachability.unreachable_places,
        )
        if version == self._assigned or now < self._next_assign:
            return
        self._assigned = version
        live = self._table.live
        self._next_assign = now + len(live) / ASSIGN_MEMBERS_PER_S
        members = [
            r
            for r in live.values()
            if not self.reachability.is_unreachable(r.place)
        ]
        self.watchers = assign(members, self._reachable(), self._places)
        own = [n for n, by in self.watchers.items() if self._me in by]
        self._detector.assign(now, own)
        self._asked = {n: v for n, v in self._asked.items() if n in live}

    def detect_failures(
        self, now: Seconds
    ) -> tuple[list[Effect], list[Record]]:
        """Return probes of suspects, and the processes declared dead."""
        effects: list[Effect] = []
        dead: list[Record] = []
        for found in self._detector.tick(now):
            record = self._table.live.get(found.node)
            if record is None:
                self._detector.drop(found.node)
                continue
            if not self.reachability.is_reachable(record.place):
                continue  # the check of its place comes first
            match found:
                case ProbeRound():
                    effects += self._probe(now, record, found)
                case Unresponsive(since=since) if self._is_confirmed(
                    record, since
                ):
                    dead.append(record)
                case Unresponsive(since=since):
                    self._check_others(now, record, since)
        return effects, dead

    def probe_places(
        self, now: Seconds
    ) -> tuple[list[Effect], list[PlaceName]]:
        """Return probes of places, and places that became unreachable."""
        effects = self._check_random_place(now)
        probe, silent = self.reachability.tick(now)
        for place in probe:
            nodes = self._others_in(place)
            chosen = self.reachability.pick(place, nodes)
            effects += [Send(node, Probe()) for node in chosen]
        return effects, silent

    def _reachable(self) -> list[Record]:
        known = self._table.balancers()
        return [
            r for r in known if not self.reachability.is_unreachable(r.place)
        ]

    def _others_in(self, place: PlaceName) -> list[NodeId]:
        return [n for n in self._table.in_place(place) if n != self._me]

    def _probe(
        self, now: Seconds, record: Record, step: ProbeRound
    ) -> list[Effect]:
        node = record.id
        watchers = self.watchers.get(node, ())
        sends_watchers = step.number % 3 == 0
        effects: list[Effect] = [
            Send(node, Probe(watchers if sends_watchers else ()))
        ]
        if step.number >= PLACE_CHECK_ROUND:
            self._check_others(now, record, step.since)
        if step.number not in INDIRECT_PROBE_ROUNDS:
            return effects
        partners = [n for n in watchers if n != self._me]
        others = [n for n in self.others() if n not in (node, *partners)]
        chosen = self._rng.sample(others, min(HELPERS, len(others)))
        for helper in (*partners, *chosen):
            effects.append(Send(helper, ProbeFor(node)))
        return effects

    def _check_others(
        self, now: Seconds, record: Record, since: Seconds
    ) -> None:
        """Check whether others in the place of a suspect reply."""
        if self._others_in(record.place) != [record.id]:
            self.reachability.check(now, record.place, since)

    def _is_confirmed(self, record: Record, since: Seconds) -> bool:
        if self._others_in(record.place) != [record.id]:
            return self.reachability.received_since(record.place, since)
        places = self._table.places()
        replied_places = [
            p for p in places if self.reachability.received_since(p, since)
        ]
        return bool(replied_places) or not self.others()

    def _check_random_place(self, now: Seconds) -> list[Effect]:
        expired = [
            place for place, at in self._place_probes.items() if now >= at
        ]
        for place in expired:
            asked = Seconds(self._place_probes.pop(place) - PLACE_CHECK_WAIT_S)
            if not self.reachability.received_since(place, asked):
                self.reachability.check(now, place)
        if now < self._next_place_check:
            return []
        self._next_place_check = now + PLACE_CHECK_S * self._rng.uniform(
            0.8, 1.2
        )
        if self._me not in self.same_place()[:PLACE_CHECKERS]:
            return []
        places = [p for p in self._table.places() if p != self._place]
        places = [p for p in places if not self.reachability.is_unreachable(p)]
        if not places:
            return []
        place = self._rng.choice(places)
        self._place_probes.setdefault(place, Seconds(now + PLACE_CHECK_WAIT_S))
        return [Send(self._rng.choice(self._others_in(place)), Probe())]
