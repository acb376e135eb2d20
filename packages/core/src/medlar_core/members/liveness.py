"""Deciding which watched processes are dead and which places are cut."""

import random

from ..effects import Effect
from ..effects import Send
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from .assign import assign
from .failure_detector import CHECK_ROUND
from .failure_detector import INDIRECT_PROBE_ROUNDS
from .failure_detector import Round
from .failure_detector import Silent
from .failure_detector import Watch
from .messages import Heard
from .messages import Probe
from .messages import ProbeFor
from .places import Places
from .reachability import Reach
from .record import Record
from .table import Table

SENTINELS = 3
"""Balancers of each place that look after the other places."""
SENTINEL_S = 1.0
SENTINEL_WAIT_S = 0.3
HELPERS = 2
RECENT_S = 0.6
"""A helper that heard of a process so recently says so without probing."""
ASSIGN_MEMBERS_PER_S = 5000.0


class Liveness:
    """Watches the processes assigned to this balancer, and all places.

    A process is found dead only if others of its place answered since it
    fell silent: who hears nobody of a place knows nothing of it.
    """

    def __init__(
        self, me: Record, table: Table, places: Places, rng: random.Random
    ) -> None:
        self._me = me.id
        self._place = me.place
        self._table = table
        self._places = places
        self._rng = rng
        self._watch = Watch()
        self.reach = Reach(rng)
        self.watchers: dict[NodeId, tuple[NodeId, ...]] = {}
        self._assigned: tuple[int, tuple[PlaceName, ...]] | None = None
        self._known: tuple[Record, ...] | None = None
        self._without: tuple[PlaceName, ...] = ()
        self._others: list[NodeId] = []
        self._next_assign = 0.0
        self._next_sentinel = 0.0
        self._looked: dict[PlaceName, Seconds] = {}
        self._asked: dict[NodeId, dict[NodeId, None]] = {}

    def others(self) -> list[NodeId]:
        """Return the other balancers that can be reached."""
        known = self._table.balancers()
        if known is not self._known or self.reach.cut_places != self._without:
            self._known = known
            self._without = self.reach.cut_places
            found = self._reachable()
            self._others = [r.id for r in found if r.id != self._me]
        return self._others

    def near(self) -> list[NodeId]:
        """Return the balancers of one's own place."""
        known = self._table.balancers()
        return [r.id for r in known if r.place == self._place]

    def peers_of(self, place: PlaceName) -> list[NodeId]:
        """Return other balancers of a place, or else of its region."""
        known = [r for r in self._table.balancers() if r.id != self._me]
        region = self._places.region(place)
        same = [r.id for r in known if r.place == place]
        near = [r.id for r in known if self._places.region(r.place) == region]
        return same or near

    def paused(self, now: Seconds) -> None:
        """Start anew: this process itself did not listen."""
        self._watch.paused(now)
        self.reach.paused(now)
        self._looked = {}
        self._asked = {}

    def regions_changed(self) -> None:
        """Assign anew at the next tick."""
        self._assigned = None

    def heard(self, now: Seconds, src: NodeId) -> bool:
        """Note a message; return whether a silent place is back."""
        self._watch.heard(now, src)
        record = self._table.live.get(src)
        if record is None or not self.reach.heard(now, record.place):
            return False
        self._watch.excuse(now, self._table.in_place(record.place))
        return True

    def beaten(self, now: Seconds, src: NodeId) -> None:
        """Note a beat of a process."""
        self._watch.beaten(now, src)

    def heard_for(self, now: Seconds, msg: Heard) -> None:
        """Note that a helper heard of a process."""
        age = min(max(msg.age, 0.0), RECENT_S)
        self._watch.heard(now, msg.target, age)

    def help(
        self, now: Seconds, asker: NodeId, target: NodeId
    ) -> list[Effect]:
        """Probe a process on behalf of another balancer."""
        age = self._watch.age(now, target)
        if age <= RECENT_S:
            return [Send(asker, Heard(target, round(age, 2)))]
        if target not in self._table.live:
            return []
        self._asked.setdefault(target, {})[asker] = None
        return [Send(target, Probe())]

    def helped(self, target: NodeId) -> list[Effect]:
        """Tell those who asked that a process answered."""
        askers = self._asked.pop(target, {})
        return [Send(asker, Heard(target, 0.0)) for asker in askers]

    def reassign(self, now: Seconds) -> None:
        """Find out whom to watch, if members or places changed."""
        version = (self._table.members_version, self.reach.cut_places)
        if version == self._assigned or now < self._next_assign:
            return
        self._assigned = version
        live = self._table.live
        self._next_assign = now + len(live) / ASSIGN_MEMBERS_PER_S
        members = [r for r in live.values() if not self.reach.cut(r.place)]
        self.watchers = assign(members, self._reachable(), self._places)
        mine = [n for n, by in self.watchers.items() if self._me in by]
        self._watch.assign(now, mine)
        self._asked = {n: v for n, v in self._asked.items() if n in live}

    def judge(self, now: Seconds) -> tuple[list[Effect], list[Record]]:
        """Return probes of suspects, and the processes found dead."""
        effects: list[Effect] = []
        dead: list[Record] = []
        for found in self._watch.tick(now):
            record = self._table.live.get(found.node)
            if record is None:
                self._watch.drop(found.node)
                continue
            if not self.reach.open(record.place):
                continue  # its place is looked at first
            match found:
                case Round():
                    effects += self._probe(now, record, found)
                case Silent(since=since) if self._proven(record, since):
                    dead.append(record)
                case Silent(since=since):
                    self._check_others(now, record, since)
        return effects, dead

    def look(self, now: Seconds) -> tuple[list[Effect], list[PlaceName]]:
        """Return probes of places, and the places just found silent."""
        effects = self._patrol(now)
        probe, silent = self.reach.tick(now)
        for place in probe:
            nodes = self._others_in(place)
            chosen = self.reach.pick(place, nodes)
            effects += [Send(node, Probe()) for node in chosen]
        return effects, silent

    def _reachable(self) -> list[Record]:
        known = self._table.balancers()
        return [r for r in known if not self.reach.cut(r.place)]

    def _others_in(self, place: PlaceName) -> list[NodeId]:
        return [n for n in self._table.in_place(place) if n != self._me]

    def _probe(
        self, now: Seconds, record: Record, step: Round
    ) -> list[Effect]:
        node = record.id
        watchers = self.watchers.get(node, ())
        tells = step.number % 3 == 0
        effects: list[Effect] = [Send(node, Probe(watchers if tells else ()))]
        if step.number >= CHECK_ROUND:
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
        """Look whether others of the place of a suspect answer."""
        if self._others_in(record.place) != [record.id]:
            self.reach.check(now, record.place, since)

    def _proven(self, record: Record, since: Seconds) -> bool:
        if self._others_in(record.place) != [record.id]:
            return self.reach.heard_since(record.place, since)
        places = self._table.places()
        heard = [p for p in places if self.reach.heard_since(p, since)]
        return bool(heard) or not self.others()

    def _patrol(self, now: Seconds) -> list[Effect]:
        over = [place for place, at in self._looked.items() if now >= at]
        for place in over:
            asked = Seconds(self._looked.pop(place) - SENTINEL_WAIT_S)
            if not self.reach.heard_since(place, asked):
                self.reach.check(now, place)
        if now < self._next_sentinel:
            return []
        self._next_sentinel = now + SENTINEL_S * self._rng.uniform(0.8, 1.2)
        if self._me not in self.near()[:SENTINELS]:
            return []
        places = [p for p in self._table.places() if p != self._place]
        places = [p for p in places if not self.reach.cut(p)]
        if not places:
            return []
        place = self._rng.choice(places)
        self._looked.setdefault(place, Seconds(now + SENTINEL_WAIT_S))
        return [Send(self._rng.choice(self._others_in(place)), Probe())]
