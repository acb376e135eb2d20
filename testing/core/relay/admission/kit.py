"""Servers that take time and callers that wait, for tests of admission."""

import msgspec

from medlar_core.ids import NodeId
from medlar_core.packets import Flag
from medlar_core.relay.configuration.routes import Route
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.configuration.routes import Share
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec
from medlar_fakes.timed_server import TimedServer

from ..kit import DESK
from ..kit import Fleet
from ..kit import FLOW_IDLE_S
from ..kit import node

SERVICE_S = 0.03
CALLER_DELAY_S = 0.003
"""Time of a packet between a caller and the fleet, one way."""
SYN_SENT_AT_S = (0.0, 0.2, 0.6)
ATTEMPT_S = 1.4
URGENT = 8_000
BULK = 8_001
IMPATIENT = 8_002
TARGETS_MS = {URGENT: 600, BULK: 250, IMPATIENT: 250}
TIMEOUTS_MS = {URGENT: 3_000, BULK: 3_000, IMPATIENT: 500}
RANKS = {URGENT: 0, BULK: 1, IMPATIENT: 1}


def routes(version: int) -> RouteTable:
    """Return routes of different terms to one service."""
    return RouteTable(
        version,
        tuple(
            Route(
                "192.0.2.1",
                port,
                (Share(DESK, 1),),
                rank,
                TARGETS_MS[port],
                TIMEOUTS_MS[port],
            )
            for port, rank in RANKS.items()
        ),
        FLOW_IDLE_S,
    )


class Call(msgspec.Struct):
    """One attempt of a caller and what became of it, times in seconds."""

    flow_id: FlowId
    at: float
    opened_at: float | None = None
    answered_at: float | None = None
    refused_at: float | None = None

    @property
    def took_s(self) -> float:
        return (
            float("inf")
            if not self.answered_at
            else (self.answered_at - self.at)
        )


class Room:
    """A fleet of slow servers with one slot, and callers of it."""

    def __init__(
        self, agents: int = 3, service_s: float = SERVICE_S, balancers: int = 2
    ) -> None:
        self.fleet = Fleet(0, balancers)
        self.clock = self.fleet.world.clock
        self.fleet.configure(routes(2))
        for number in range(agents):
            self.start(node("agent", number), service_s)
            self.fleet.start_agent(node("agent", number))
        self.calls: dict[FlowId, Call] = {}
        self.fleet.run(3.0)
        self._seen = len(self.fleet.world.caller_packets)
        self._poll()

    @property
    def servers(self) -> list[TimedServer]:
        return [
            server
            for server in self.fleet.world.servers.values()
            if isinstance(server, TimedServer)
        ]

    def start(self, address: NodeId, service_s: float) -> None:
        """Start a server of one slot that takes time."""
        self.fleet.start_server(address)
        world = self.fleet.world
        codec = FakeCodec()

        def send(segment: Segment) -> None:
            sent = codec.decode(encode(segment))
            world.dispatch(address, ServerPacketReceived(sent))

        world.servers[address] = TimedServer(self.clock, send, service_s)
        self.fleet.announcements[address] = msgspec.structs.replace(
            self.fleet.announcements[address], slots=1
        )

    def call(
        self,
        number: int,
        port: int = BULK,
        at: float = 0.0,
        caller: str = "",
        by: tuple[int, ...] = (0, 0, 0),
    ) -> Call:
        """Call ``at`` seconds from now; return what becomes of it.

        ``by`` are the balancers that the SYN and its copies go through.
        """
        host = caller or f"100.64.{number // 250}.{number % 250}"
        source = endpoint(host, 10_000 + number)
        flow_id = FlowId(source, endpoint("192.0.2.1", port))
        call = Call(flow_id, self.clock.now + at)
        self.calls[flow_id] = call
        for copy, sent_at_s in enumerate(SYN_SENT_AT_S):
            self.clock.after(
                at + sent_at_s + CALLER_DELAY_S,
                lambda copy=copy: self._send_syn(call, by[copy], copy),
            )
        return call

    def _send_syn(self, call: Call, by: int, copy: int) -> None:
        if call.opened_at is None and call.refused_at is None:
            self.fleet.syn(call.flow_id, by, copy)

    def _poll(self) -> None:
        """Let the callers receive their packets."""
        packets = self.fleet.world.caller_packets
        for segment in packets[self._seen :]:
            call = self.calls.get(segment.outward)
            if call is not None:
                self._receive(call, segment)
        self._seen = len(packets)
        self.clock.after(0.0005, self._poll)

    def _receive(self, call: Call, segment: Segment) -> None:
        at = self.clock.now + CALLER_DELAY_S
        if segment.flags & Flag.RST:
            assert call.opened_at is None, "reset of an open flow"
            call.refused_at = at
        elif segment.size:
            call.answered_at = at
        elif call.opened_at is None and at - call.at <= ATTEMPT_S:
            call.opened_at = at
            self.clock.after(
                2 * CALLER_DELAY_S, lambda: self.fleet.data(call.flow_id)
            )
