"""Rows on who is taken for dead, how soon, and who is fenced."""

import random

import numpy

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import RegionName
from medlar_core.members.seeds import LEASE_S
from medlar_core.members.seeds import PREFIX
from medlar_core.store import Put
from medlar_core.store import StoreAnswer
from medlar_core.store import Written

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .baselines import LeaseFleet
from .fleet import Fleet
from .fleet import sized

OUTAGE_S = 1800.0
LOSS = 0.1
SHORT_PAUSE_S = 0.8
BALANCER_PAUSE_S = 5.0
REOPEN_S = 3.0
POLL_S = 0.05
BASELINE = "store lease alone"
AUTHORITY = {
    PlaceName(name): RegionName("awash")
    for name in ("adama-landing", "metehara-landing", "awash-sebat")
}


def false_dead(size: Size, seed: int) -> list[Row]:
    """Count live servers taken out in a store outage of 30 minutes."""
    fleet = _fleet(size, seed)
    fleet.net.faults.loss = LOSS
    fleet.store.down = True
    out: set[NodeId] = set()
    pauses = _Pauses(fleet, seed)
    end = fleet.clock.now + OUTAGE_S
    while fleet.clock.now < end:
        fleet.run(1.0)
        pauses.step()
        out |= _taken_out(fleet, pauses)
    fleet.store.down = False
    for _ in range(60):
        fleet.run(1.0)
        out |= _taken_out(fleet, pauses)
    base = LeaseFleet(3, 10, seed)
    base.store.down = True
    lapsed: set[NodeId] = set()
    for _ in range(round(OUTAGE_S)):
        base.run(1.0)
        lapsed |= {n for n in base.agents if base.users(n) < 3}
    note = (
        f"{len(fleet.balancers)} balancers, {len(fleet.agents)} servers, "
        f"10% loss; {pauses.count} pauses: servers {SHORT_PAUSE_S} s, "
        f"balancers {BALANCER_PAUSE_S} s; baseline of 10 servers"
    )
    return [
        Row(
            "member.false_dead",
            len(out),
            "servers",
            0,
            Sense.MAX,
            seed,
            len(lapsed),
            BASELINE,
            note,
        )
    ]


def detect(size: Size, seed: int) -> list[Row]:
    """Time until the last balancer places nothing on a dead server."""
    fleet = _fleet(size, seed)
    fleet.net.faults.loss = LOSS
    rng = random.Random(seed)
    wanted = len(fleet.agents) // 2 if size is Size.FAST else 100
    last: list[float] = []
    for node in rng.sample(sorted(fleet.agents), wanted):
        fleet.run(rng.random() * 2.0)
        fleet.kill(node)
        last.append(_until_unused(fleet, node))
    base = LeaseFleet(3, 20, seed)
    lapsed = [_until_lapsed(base, node) for node in base.agents[:15]]
    note = (
        f"last of {len(fleet.balancers)} balancers, {wanted} deaths, "
        f"10% loss; median {numpy.median(last):.2f}, most {max(last):.2f}"
    )
    return [
        Row(
            "member.detect_s",
            float(numpy.percentile(last, 99)),
            "s",
            3.0,
            Sense.MAX,
            seed,
            float(numpy.percentile(lapsed, 99)),
            BASELINE,
            note,
        )
    ]


def fenced(size: Size, seed: int) -> list[Row]:
    """Count what holders do after a pause longer than their lease."""
    effective = 0
    runs = 3 if size is Size.FAST else 12
    for number in range(runs):
        fleet = Fleet(6, 12, seed + number, AUTHORITY)
        fleet.settle()
        effective += _late_writes(fleet) + _late_placements(fleet)
    note = f"{runs} holders paused {1.5 * LEASE_S:.0f} s, resumed mid-call"
    row = Row(
        "member.fenced", effective, "", 0, Sense.MAX, seed, None, "", note
    )
    return [row]


def _fleet(size: Size, seed: int) -> Fleet:
    if size is Size.FULL:
        fleet = sized(21, seed)
    else:
        fleet = Fleet(3, 10, seed, AUTHORITY)
    fleet.settle()
    return fleet


class _Pauses:
    """Pauses one server shortly and now and then one balancer."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._steps = 0
        self.count = 0
        self.closed: dict[NodeId, float] = {}

    def step(self) -> None:
        """Begin the pauses of this second."""
        self._steps += 1
        if self._steps % 10 == 0:
            node = self._rng.choice(sorted(self._fleet.agents))
            self._pause(node, SHORT_PAUSE_S)
        if self._steps % 60 == 0:
            node = self._rng.choice(sorted(self._fleet.balancers))
            self._pause(node, BALANCER_PAUSE_S)
            until = self._fleet.clock.now + BALANCER_PAUSE_S + REOPEN_S
            self.closed[node] = until

    def _pause(self, node: NodeId, seconds: float) -> None:
        self.count += 1
        net = self._fleet.net
        net.pause(node)
        self._fleet.clock.after(seconds, lambda: net.resume(node))


def _taken_out(fleet: Fleet, pauses: _Pauses) -> set[NodeId]:
    """Return the live servers that some awake balancer does not use."""
    now = fleet.clock.now
    awake = [n for n in fleet.balancers if pauses.closed.get(n, 0.0) < now]
    agents = set(fleet.agents)
    return {n for node in awake for n in agents - fleet.usable(node)}


def _until_unused(fleet: Fleet, node: NodeId) -> float:
    start = fleet.clock.now
    while any(node in fleet.usable(other) for other in fleet.balancers):
        fleet.run(POLL_S)
    return fleet.clock.now - start


def _until_lapsed(fleet: LeaseFleet, node: NodeId) -> float:
    start = fleet.clock.now
    fleet.net.kill(node)
    while fleet.users(node):
        fleet.run(POLL_S)
    return fleet.clock.now - start


def _holder(fleet: Fleet) -> tuple[NodeId, Put]:
    """Return a holder of seeds and the write that it last made."""
    place = next(iter(AUTHORITY))
    item = fleet.store.items[PREFIX + place]
    near = fleet.in_place(place)
    hosts = [fleet.balancers[n] for n in near if n in fleet.balancers]
    holder = next(host for host in hosts if host.holds_seeds)
    put = Put(item.key, item.value, item.revision, item.lease)
    return holder.record.id, put


def _late_writes(fleet: Fleet) -> int:
    """Pause a holder past its lease while a write of it is on its way."""
    node, put = _holder(fleet)
    fleet.net.pause(node)
    fleet.run(1.5 * LEASE_S)
    answers: list[StoreAnswer] = []
    fleet.store.call(put, answers.append)
    fleet.run(1.0)
    written = sum(isinstance(answer, Written) for answer in answers)
    fleet.net.resume(node)
    return written


def _late_placements(fleet: Fleet) -> int:
    """Count servers that a resumed balancer would place work on now."""
    node = max(fleet.balancers)
    fleet.net.pause(node)
    fleet.run(1.5 * LEASE_S)
    fleet.net.resume(node)
    return len(fleet.usable(node))
