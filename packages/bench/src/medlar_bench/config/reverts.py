"""Whether a process ever goes back to an older version."""

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
"""A version accepted so long ago is in force everywhere."""
SETTLE_S = 60.0
APPLY_LIMIT_S = 60.0


class _Joiner(msgspec.Struct, frozen=True):
    """A process that started, and the oldest version it may take."""

    node: NodeId
    least: int


def measure(size: Size, seed: int) -> list[Row]:
    """Return how many processes went back under the fault schedule."""
    fleet = Fleet(BALANCERS[size], AGENTS[size], seed)
    faults = fleet.net.faults
    faults.loss = 0.1
    faults.double = 0.1
    faults.jitter_s = 1.0
    schedule = _Schedule(fleet, seed)
    for _ in range(STEPS[size]):
        schedule.step()
    schedule.end()
    newest = schedule.newest
    whole = fleet.settle(lambda: fleet.in_force_everywhere(newest), SETTLE_S)
    back = fleet.reverted_nodes | schedule.joined_older()
    note = (
        f"{newest} versions, {len(schedule.joiners)} processes joined,"
        f" {schedule.outage_joins} in an outage;"
        f" all at the newest in the end: {whole}"
    )
    return [
        Row(
            "config.reverts",
            len(back) if whole else len(back) + 1,
            "processes",
            0,
            Sense.MAX,
            seed,
            note=note,
        )
    ]


class _Schedule:
    """Changes, outages, pauses, deaths and joins at random."""

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
        """Return the newest version accepted."""
        return max(version for version, _ in self._accepted())

    def joined_older(self) -> set[NodeId]:
        """Return joiners whose first version was already replaced."""
        in_force_at = self._fleet.in_force_at
        return {
            joiner.node
            for joiner in self.joiners
            if in_force_at[joiner.node]
            and min(in_force_at[joiner.node]) < joiner.least
        }

    def step(self) -> None:
        """Let something happen, then some time pass."""
        fleet = self._fleet
        match self._rng.randrange(6):
            case 0:
                fleet.store.down = not fleet.store.down
            case 1 | 2:
                self._change()
            case 3:
                self._replace()
            case 4:
                self._pause()
            case 5:
                fleet.store.down = False
        fleet.clock.run_until(fleet.clock.now + self._rng.random() * STEP_S)

    def end(self) -> None:
        """End all faults, so that every change can finish."""
        self._fleet.store.down = False
        if self._paused is not None:
            self._pause()
        self._fleet.clock.run_until(self._fleet.clock.now + SETTLE_S)

    def _change(self) -> None:
        self._number += 1
        self._cfg = with_more_slots(self._cfg, self._number)
        base = self.newest
        change = f"change-{self._number}"
        self._fleet.apply(change, self._cfg, base, APPLY_LIMIT_S)

    def _replace(self) -> None:
        fleet = self._fleet
        old = self._rng.choice(list(fleet.alive))
        if old == self._paused:
            return
        is_balancer = fleet.alive[old]
        fleet.kill(old)
        settled = fleet.clock.now - IN_FORCE_S
        least = [v for v, at in self._accepted() if at <= settled]
        node = fleet.start(is_balancer)
        self.joiners.append(_Joiner(node, max(least, default=0)))
        self.outage_joins += fleet.store.down

    def _pause(self) -> None:
        if self._paused is not None:
            self._fleet.net.resume(self._paused)
            self._paused = None
            return
        self._paused = self._rng.choice(list(self._fleet.alive))
        self._fleet.net.pause(self._paused)

    def _accepted(self) -> list[tuple[int, float]]:
        """Return version and time of all that processes have in force."""
        first: dict[int, float] = {}
        for times in self._fleet.in_force_at.values():
            for version, at in times.items():
                first[version] = min(at, first.get(version, at))
        return sorted(first.items())
