"""Processes that revert to an older version under random faults."""

import random

import msgspec

from medlar_core.ids import NodeId

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .documents import document
from .fleet import Fleet
from .propagation import with_more_slots

BALANCERS = {Size.FAST: 5, Size.FULL: 20}
AGENTS = {Size.FAST: 30, Size.FULL: 150}
STEPS = {Size.FAST: 60, Size.FULL: 300}
STEP_S = 6.0
IN_FORCE_S = 10.0
"""A version first in force this long ago is in force everywhere."""
SETTLE_S = 60.0
APPLY_LIMIT_S = 60.0


class _Joiner(msgspec.Struct, frozen=True):
    """A process started later, and the oldest version it may apply."""

    node: NodeId
    min_version: int


def measure(size: Size, seed: int) -> list[Row]:
    """Count the processes that reverted under the fault schedule."""
    fleet = Fleet(BALANCERS[size], AGENTS[size], seed)
    faults = fleet.net.faults
    faults.loss = 0.1
    faults.duplicate = 0.1
    faults.jitter_s = 1.0
    schedule = _Schedule(fleet, seed)
    for _ in range(STEPS[size]):
        schedule.step()
    schedule.end()
    newest = schedule.newest
    settled = fleet.settle(lambda: fleet.in_force_everywhere(newest), SETTLE_S)
    reverted = fleet.reverted_nodes | schedule.joined_older()
    note = (
        f"{newest} versions, {len(schedule.joiners)} processes joined,"
        f" {schedule.outage_joins} in an outage;"
        f" all at the newest in the end: {settled}"
    )
    return [
        Row(
            "config.reverts",
            len(reverted) if settled else len(reverted) + 1,
            "processes",
            0,
            Sense.MAX,
            seed,
            note=note,
        )
    ]


class _Schedule:
    """Random changes, store outages, pauses, crashes and joins."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.joiners: list[_Joiner] = []
        self.outage_joins = 0
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._cfg = document(10)
        self._number = 0
        self._paused: NodeId | None = None
        fleet.apply("first", self._cfg, 0)
        fleet.settle(lambda: fleet.in_force_everywhere(1), SETTLE_S)

    @property
    def newest(self) -> int:
        """Return the newest version in force anywhere."""
        return max(version for version, _ in self._accepted())

    def joined_older(self) -> set[NodeId]:
        """Return joiners whose first version was already superseded."""
        in_force_at = self._fleet.in_force_at
        return {
            joiner.node
            for joiner in self.joiners
            if in_force_at[joiner.node]
            and min(in_force_at[joiner.node]) < joiner.min_version
        }

    def step(self) -> None:
        """Apply one random event, then let a random time pass."""
        fleet = self._fleet
        match self._rng.randrange(6):
            case 0:
                fleet.store.down = not fleet.store.down
            case 1 | 2:
                self._change()
            case 3:
                self._replace_node()
            case 4:
                self._toggle_pause()
            case 5:
                fleet.store.down = False
        fleet.clock.run_until(fleet.clock.now + self._rng.random() * STEP_S)

    def end(self) -> None:
        """End all faults, so that every change can complete."""
        self._fleet.store.down = False
        if self._paused is not None:
            self._toggle_pause()
        self._fleet.clock.run_until(self._fleet.clock.now + SETTLE_S)

    def _change(self) -> None:
        self._number += 1
        self._cfg = with_more_slots(self._cfg, self._number)
        base = self.newest
        change = f"change-{self._number}"
        self._fleet.apply(change, self._cfg, base, APPLY_LIMIT_S)

    def _replace_node(self) -> None:
        fleet = self._fleet
        old = self._rng.choice(list(fleet.alive))
        if old == self._paused:
            return
        is_balancer = fleet.alive[old]
        fleet.kill(old)
        settled_at = fleet.clock.now - IN_FORCE_S
        settled = [v for v, at in self._accepted() if at <= settled_at]
        node = fleet.start(is_balancer)
        self.joiners.append(_Joiner(node, max(settled, default=0)))
        self.outage_joins += fleet.store.down

    def _toggle_pause(self) -> None:
        if self._paused is not None:
            self._fleet.net.resume(self._paused)
            self._paused = None
            return
        self._paused = self._rng.choice(list(self._fleet.alive))
        self._fleet.net.pause(self._paused)

    def _accepted(self) -> list[tuple[int, float]]:
        """Return each version and the time it was first in force."""
        first: dict[int, float] = {}
        for times in self._fleet.in_force_at.values():
            for version, at in times.items():
                first[version] = min(at, first.get(version, at))
        return sorted(first.items())
