"""The ordinary day and a place loss, as events for a fleet."""

import random

from medlar_core.events import LoadMeasured
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName

from .fleet import D_AGENTS
from .fleet import Fleet

LOAD_S = 1.0
FLOWS = 1480
"""Mean open flows per server: 8.3 million over 5,600."""
SLOTS = 2
RESTARTS_PER_DAY = 580
DAY_S = 86400.0
LOST_PLACE = PlaceName("east-b")


class Day:
    """Loads that change each second and now and then a restart.

    A short run gets one restart, though its share of the day is less.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._flows = dict.fromkeys(fleet.agents, FLOWS)

    def run(self, seconds: float) -> None:
        """Let part of the day pass."""
        steps = round(seconds / LOAD_S)
        share = len(self._fleet.agents) / D_AGENTS
        due = RESTARTS_PER_DAY * share * seconds / DAY_S
        restarts = max(1, round(due))
        for step in range(steps):
            self._change_loads()
            if step % max(1, steps // restarts) == steps // 4:
                self._restart()
            self._fleet.run(LOAD_S)

    def _change_loads(self) -> None:
        for node in sorted(self._fleet.agents):
            flows = self._flows.get(node, 0)
            flows = max(0, flows + self._rng.randrange(-30, 31))
            self._flows[node] = flows
            busy = self._rng.randrange(SLOTS + 1)
            self._fleet.net.dispatch(node, LoadMeasured(flows, busy))

    def _restart(self) -> None:
        node = self._rng.choice(sorted(self._fleet.agents))
        record = self._fleet.agents[node].record
        self._fleet.kill(node)
        self._fleet.add_agent(node, record.place, record.service)
        self._flows[node] = 0


def lose_place(fleet: Fleet) -> list[NodeId]:
    """Kill all processes of a place; return its servers."""
    lost = fleet.in_place(LOST_PLACE)
    servers = [node for node in lost if node in fleet.agents]
    for node in lost:
        fleet.kill(node)
    return servers
