"""Servers of one slot, some of which fail, and callers that try again."""

from collections.abc import Callable
import enum
import heapq
import itertools
import random

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.flow_table import FlowTable
from medlar_core.relay.health.ejection import left_out
from medlar_core.relay.health.ejection import LeftOut
from medlar_core.relay.health.state import HealthState
from medlar_core.relay.health.watch import ServerWatch
from medlar_core.relay.local_server import LocalServer
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_core.relay.terms import FlowTerms

SERVICE = ServiceName("desk")
TERMS = FlowTerms(target_ms=250, is_idempotent=True)
ADDRESS = endpoint("192.0.2.1", 8000)
WORK_S = 0.03
USE = 0.55
FAILING_SHARE = 0.4
TRIES = 3
COPY_S = 0.2
"""A caller sends a copy of its SYN after this."""
ROUND_TRIP_S = 0.008
TICK_S = 0.1
WELL_S = 4.0
"""Time before the first failure, in which servers' usual work is seen."""
MAX_LOADED = 8
SERVER_SEQ = 1_000
REQUEST_BYTES = 200
RESPONSE_BYTES = 1_000
ERROR_BYTES = 150


class Kind(enum.Enum):
    """What a failing server does with a part of its flows."""

    NONE = "none"
    RESET = "reset"
    ERRORS = "errors"
    HANG = "hang"
    MUTE = "mute"
    SHED = "shed"


class Load(msgspec.Struct, frozen=True):
    """A service, how many of its servers fail, and for how long."""

    servers: int
    grey: int
    seconds: float
    kind: Kind = Kind.NONE
    rate_factor: float = 1.0
    seed: int = 1


class Result(msgspec.Struct):
    """Requests that were made while servers failed, and ejections."""

    asked: int = 0
    served_in_aim: int = 0
    false_ejections: int = 0

    @property
    def in_aim(self) -> float:
        """Share of the requests that were served within their target."""
        return self.served_in_aim / max(1, self.asked)


class _Server:
    """A server of one slot, the flow table of its agent and its watch."""

    def __init__(self, number: int) -> None:
        self.node = NodeId(f"10.0.1.{number}:7000")
        local_server = LocalServer(1e6)
        announced = ServerAnnounced(
            "s", 1, 1, SERVICE, ServerPhase.READY, 1, 0.0
        )
        local_server.handle_announcement(Seconds(0.0), announced)
        self.table = FlowTable(self.node)
        self.watch = ServerWatch(self.table, local_server)
        self.free_at = 0.0
        self.is_grey = False

    def report(self) -> AgentReport:
        """Return what the agent reports."""
        return AgentReport(
            self.node,
            PlaceName("a"),
            SERVICE,
            1,
            1,
            AgentState.READY,
            1,
            self.table.busy_count,
            health=self.watch.health.state,
        )

    def receive(
        self, now: float, flow: FlowId, flags: Flag, size: int = 0
    ) -> None:
        """Deliver a packet of a flow."""
        seq, ack = (101, SERVER_SEQ + 1) if size else (100, 0)
        segment = Segment(b"", int(flags), *flow, size, seq, ack)
        entry = self.table.get(flow)
        assert entry is not None
        self.table.record_delivered(Seconds(now), entry, segment)

    def send(
        self, now: float, flow: FlowId, flags: Flag, size: int = 0
    ) -> None:
        """Send a packet of a flow; a response ends it."""
        seq = SERVER_SEQ if flags & Flag.SYN else SERVER_SEQ + 1
        segment = Segment(b"", int(flags), *flow[::-1], size, seq, 0)
        entry = self.table.get(flow)
        assert entry is not None
        self.watch.record_packet(Seconds(now), flow, entry, segment)
        self.table.record_server_packet(Seconds(now), entry, segment)


class GreyFleet:
    """Plays a load; ``is_judged`` tells whether health decides."""

    def __init__(self, load: Load, is_judged: bool = True) -> None:
        self._load = load
        self._is_judged = is_judged
        self._rng = random.Random(load.seed)
        self._servers = [_Server(n) for n in range(load.servers)]
        self._left_out = LeftOut()
        self._result = Result()
        self._numbers = itertools.count(1)
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0

    def play(self) -> Result:
        """Play the load and return what callers got."""
        until = WELL_S + self._load.seconds
        self._at(0.0, self._arrive)
        self._at(TICK_S, self._tick)
        self._at(WELL_S, self._start_failing)
        while self._queue and self._queue[0][0] < until:
            self._now, _, action = heapq.heappop(self._queue)
            action()
        return self._result

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def _start_failing(self) -> None:
        if self._load.kind is not Kind.NONE:
            for server in self._servers[: self._load.grey]:
                server.is_grey = True

    def _tick(self) -> None:
        for server in self._servers:
            for change in server.watch.judge(Seconds(self._now)):
                is_suspect = change.new is HealthState.SUSPECT
                is_false = is_suspect and not server.is_grey
                self._result.false_ejections += is_false
        if self._is_judged:
            self._left_out = left_out(s.report() for s in self._servers)
        self._at(self._now + TICK_S, self._tick)

    def _arrive(self) -> None:
        rate = USE * self._load.servers / WORK_S
        if self._now >= WELL_S:
            rate *= self._load.rate_factor
        self._try(self._now, 1)
        self._at(self._now + self._rng.expovariate(rate), self._arrive)

    def _try(self, asked_at: float, count: int) -> None:
        if count == 1 and self._is_measured(asked_at):
            self._result.asked += 1
        number = next(self._numbers)
        flow = FlowId(endpoint("100.64.0.1", number % 65_536), ADDRESS)
        self._place(flow, asked_at, count, [])

    def _is_measured(self, asked_at: float) -> bool:
        latest = self._load.seconds + WELL_S - TERMS.target_ms / 1_000
        return WELL_S <= asked_at <= latest

    def _place(
        self,
        flow: FlowId,
        asked_at: float,
        count: int,
        declined: list[_Server],
    ) -> None:
        servers = [s for s in self._servers if s not in declined]
        usable = [
            s for s in servers if self._left_out.admits(s.node, flow, TERMS)
        ] or servers
        some = self._rng.sample(usable, min(4, len(usable)))
        server = min(some, key=lambda s: s.table.busy_count)
        entry = server.table.put(Seconds(self._now), flow, server.node)
        entry.terms = TERMS
        server.receive(self._now, flow, Flag.SYN)
        fails = server.is_grey and self._rng.random() < FAILING_SHARE
        if not fails:
            self._work(server, flow, asked_at, server.table.busy_count)
            return
        match self._load.kind:
            case Kind.MUTE:
                self._at(
                    self._now + COPY_S,
                    lambda: self._copy(server, flow, asked_at, count),
                )
            case Kind.SHED:
                server.table.remove(flow)
                server.watch.record_declined(Seconds(self._now))
                self._place(flow, asked_at, count, [*declined, server])
            case _:
                self._accept(server, flow)
                self._fail(server, flow, asked_at, count)

    def _copy(
        self, server: _Server, flow: FlowId, asked_at: float, count: int
    ) -> None:
        entry = server.table.get(flow)
        assert entry is not None
        if server.watch.is_mute(Seconds(self._now), entry):
            server.table.remove(flow)
            self._place(flow, asked_at, count, [server])

    def _accept(self, server: _Server, flow: FlowId) -> None:
        server.send(self._now, flow, Flag.SYN | Flag.ACK)
        server.receive(self._now, flow, Flag.ACK, REQUEST_BYTES)

    def _fail(
        self, server: _Server, flow: FlowId, asked_at: float, count: int
    ) -> None:
        if self._load.kind is Kind.HANG:
            return
        if self._load.kind is Kind.RESET:
            server.send(self._now, flow, Flag.RST)
        else:
            server.send(self._now, flow, Flag.FIN | Flag.ACK, ERROR_BYTES)
        if count < TRIES:
            self._at(
                self._now + ROUND_TRIP_S,
                lambda: self._try(asked_at, count + 1),
            )

    def _work(
        self, server: _Server, flow: FlowId, asked_at: float, busy: int
    ) -> None:
        self._accept(server, flow)
        if busy > MAX_LOADED:
            server.send(self._now, flow, Flag.FIN | Flag.ACK, ERROR_BYTES)
            return
        work_s = WORK_S * self._rng.lognormvariate(-0.125, 0.5)
        server.free_at = max(server.free_at, self._now) + work_s
        self._at(server.free_at, lambda: self._answer(server, flow, asked_at))

    def _answer(self, server: _Server, flow: FlowId, asked_at: float) -> None:
        server.send(self._now, flow, Flag.FIN | Flag.ACK, RESPONSE_BYTES)
        latency_s = self._now + ROUND_TRIP_S - asked_at
        if self._is_measured(asked_at):
            in_aim = latency_s <= TERMS.target_ms / 1_000
            self._result.served_in_aim += in_aim
