"""Decision on the new flows of one server: start, hold or refuse."""

import enum

import msgspec

from ...ids import Seconds
from .capacity import ServerLoad
from .capacity import Timings
from .fair_share import CallerShares
from .held import Held
from .held import HeldFlows
from .order import in_order
from .order import next_place
from .order import RankShares
from .refusal import beyond_limits
from .refusal import Expectation
from .refusal import expectations
from .refusal import without_chance


class Outcome(enum.Enum):
    """What becomes of a flow."""

    STARTED = "started"
    HELD = "held"
    REFUSED = "refused"
    """Its caller gets a reset."""
    DROPPED = "dropped"
    """Its caller is to retransmit the SYN, or has given up."""


class Decision(msgspec.Struct, frozen=True):
    """What becomes of one flow, and why.

    ``waited_s`` is how long it was held, ``wait_s`` how long it would have
    had to wait yet, ``share`` what its rank got of the recent starts.
    """

    held: Held
    outcome: Outcome
    waited_s: float
    wait_s: float
    share: float


class Admission:
    """The new flows of one server that wait, and what it started lately."""

    def __init__(self, held: HeldFlows) -> None:
        self.held = held
        self.timings = Timings()
        self._callers = CallerShares()
        self._ranks = RankShares()

    def offer(
        self, now: Seconds, held: Held, load: ServerLoad, limit: int
    ) -> list[Decision]:
        """Decide on a flow that is not held, and so on those that are."""
        self.held.add(held)
        decisions = self.decide(now, load, limit)
        if self.held.get(held.flow_id) is not None:
            wait_s = load.wait_s(len(self.held) - 1)
            decisions.append(self._decision(now, held, Outcome.HELD, wait_s))
        return decisions

    def start(
        self, now: Seconds, load: ServerLoad, limit: int
    ) -> list[Decision]:
        """Start the held flows that the server has room for.

        ``limit`` is how many may start now, negative for any number.
        """
        decisions: list[Decision] = []
        if not load.has_room or not limit:
            return decisions
        ordered = in_order(now, list(self.held), load, self._callers)
        while ordered and load.has_room and len(decisions) != limit:
            held = ordered.pop(next_place(ordered, self._ranks))
            decisions.append(self._start(now, held, load))
            load = msgspec.structs.replace(load, pending=load.pending + 1)
        return decisions

    def decide(
        self, now: Seconds, load: ServerLoad, limit: int
    ) -> list[Decision]:
        """Start held flows as :meth:`start` does, and refuse others."""
        decisions = self.start(now, load, limit)
        pending = load.pending + len(decisions)
        load = msgspec.structs.replace(load, pending=pending)
        ordered = in_order(now, list(self.held), load, self._callers)
        hopeful = {held.flow_id for held in ordered}
        ordered += [h for h in self.held if h.flow_id not in hopeful]
        expected = expectations(now, ordered, load)
        for entry in beyond_limits(expected, load):
            decisions.append(self._drop(now, entry))
        for entry in without_chance(now, expected):
            if self.held.get(entry.held.flow_id) is not None:
                decisions.append(self._refuse(now, entry))
        return decisions

    def _start(self, now: Seconds, held: Held, load: ServerLoad) -> Decision:
        self.held.remove(held.flow_id)
        self._callers.record_start(now, held.caller)
        self._ranks.record_start(held.terms.rank)
        wait_s = load.wait_s(0)
        return self._decision(now, held, Outcome.STARTED, wait_s)

    def _refuse(self, now: Seconds, entry: Expectation) -> Decision:
        self.held.remove(entry.held.flow_id)
        outcome = Outcome.DROPPED
        if entry.held.may_be_reset(now):
            outcome = Outcome.REFUSED
        return self._decision(now, entry.held, outcome, entry.wait_s)

    def _drop(self, now: Seconds, entry: Expectation) -> Decision:
        self.held.remove(entry.held.flow_id)
        return self._decision(now, entry.held, Outcome.DROPPED, entry.wait_s)

    def _decision(
        self,
        now: Seconds,
        held: Held,
        outcome: Outcome,
        wait_s: float,
    ) -> Decision:
        share = self._ranks.share(held.terms.rank)
        waited_s = now - held.received_at
        return Decision(held, outcome, waited_s, wait_s, share)
