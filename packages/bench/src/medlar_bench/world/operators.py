"""Operators that apply configurations through the real config writer."""

import random
from typing import Any

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Accepted
from medlar_core.config.outcome import Change
from medlar_core.config.outcome import Outcome
from medlar_core.config.writer import ConfigWriter
from medlar_core.config.writer import Finished
from medlar_core.ids import ChangeId
from medlar_core.ids import NodeId
from medlar_core.ids import Version
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net


class Applied(msgspec.Struct):
    """One change as its operator sees it; no ``outcome`` until it ends."""

    change: ChangeId
    cfg: Configuration
    at: float
    outcome: Outcome | None = None
    ended_at: float | None = None

    @property
    def version(self) -> Version | None:
        """The version under which the change was accepted, or None."""
        match self.outcome:
            case Accepted(version=version):
                return version
        return None


class Operators:
    """Applies changes and records the outcome that each operator receives."""

    def __init__(self, clock: Clock, net: Net) -> None:
        self.applied: list[Applied] = []
        self._clock = clock
        self._net = net
        self._by_node: dict[NodeId, Applied] = {}

    def apply(
        self,
        cfg: Configuration,
        base: Version,
        by: str,
        nodes: tuple[NodeId, ...],
    ) -> Applied:
        """Start to apply a configuration derived from a base version."""
        number = len(self.applied) + 1
        found = Applied(ChangeId(f"c{number}"), cfg, self._clock.now)
        self.applied.append(found)
        node = NodeId(f"operator-{number}")
        self._by_node[node] = found
        change = Change(id=found.change, by=by, base=base)
        rng = random.Random(self._net.rng.getrandbits(64))
        self._net.attach(node, ConfigWriter(change, cfg, rng, nodes))
        return found

    def carry(self, node: NodeId, effect: Any) -> None:
        """Record the outcome of a change.

        :raises TypeError: if no part of the world handles the effect.
        """
        if not isinstance(effect, Finished):
            raise TypeError(f"expected a Finished effect, got {effect!r}")
        found = self._by_node[node]
        found.outcome = effect.outcome
        found.ended_at = self._clock.now
        self._net.kill(node)
