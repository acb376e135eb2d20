"""Relay processes with slow servers of one slot, and callers that retry."""

from collections.abc import Callable
import random

import msgspec

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.relay.access import new_access
from medlar_core.relay.agent import RelayAgent
from medlar_core.relay.balancer import RelayBalancer
from medlar_core.relay.configuration.routes import RouteTable
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPacketReceived
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.own_state import AgentIdentity
from medlar_core.relay.registration import Registration
from medlar_core.relay.segment import Endpoint
from medlar_core.relay.segment import endpoint
from medlar_core.relay.segment import FlowId
from medlar_core.relay.segment import Segment
from medlar_core.relay.store_view import BalancerIdentity
from medlar_core.store import Put
from medlar_fakes.relay import encode
from medlar_fakes.relay import FakeCodec
from medlar_fakes.relay import RelaySimulation
from medlar_fakes.timed_server import TimedServer

SERVICE = ServiceName("desk")
PLACE = PlaceName("a")
ANNOUNCE_S = 1.0
SETTLE_S = 3.0
CALLER_DELAY_S = 0.003
POLL_S = 0.001
SYN_SENT_AT_S = (0.0, 0.2, 0.6)
ATTEMPT_S = 1.4
RETRIES = 2
RETRY_DELAY_S = 0.1


class Request(msgspec.Struct):
    """One request of a caller: first attempt, answer, attempts made."""

    at: float
    address: Endpoint
    attempts: int = 0
    answered_at: float = float("inf")


class _Attempt(msgspec.Struct):
    request: Request
    flow_id: FlowId
    is_open: bool = False
    has_ended: bool = False


class RoomFleet:
    """A fleet with one service whose servers have one slot each."""

    def __init__(
        self, servers: int, service_s: float, table: RouteTable, seed: int
    ) -> None:
        self.world = RelaySimulation(seed)
        self.clock = self.world.clock
        self.servers: list[TimedServer] = []
        self._seed = seed
        self._attempts: dict[FlowId, _Attempt] = {}
        self._announced: dict[NodeId, int] = {}
        text = msgspec.json.encode(table).decode()
        self.world.store.call(Put("conf", text, 0), lambda _: None)
        self._balancers = [NodeId(f"10.0.2.{n}:7000") for n in range(2)]
        for node in self._balancers:
            self._start_balancer(node)
        for number in range(servers):
            node = NodeId(f"10.0.1.{number}:7000")
            self._start_agent(node, service_s)
        self._announce()
        self.world.run(SETTLE_S)
        self._seen = 0
        self._poll()

    def call(self, request: Request) -> None:
        """Make the first attempt of a request when it is due."""
        self.clock.at(request.at, lambda: self._attempt(request))

    def _attempt(self, request: Request) -> None:
        number = len(self._attempts)
        request.attempts += 1
        host = f"100.64.{number // 200 % 200}.{number % 200}"
        flow_id = FlowId(endpoint(host, 1_024 + number), request.address)
        attempt = _Attempt(request, flow_id)
        self._attempts[flow_id] = attempt
        for copy, at_s in enumerate(SYN_SENT_AT_S):
            self._after(at_s + CALLER_DELAY_S, self._syn(attempt, copy))
        self._after(ATTEMPT_S, lambda: self._fail(attempt, 0.0))

    def _syn(self, attempt: _Attempt, copy: int) -> Callable[[], None]:
        def send() -> None:
            if not attempt.is_open and not attempt.has_ended:
                self._send(attempt.flow_id, Flag.SYN, 0, 100, copy)

        return send

    def _fail(self, attempt: _Attempt, delay_s: float) -> None:
        if attempt.is_open or attempt.has_ended:
            return
        attempt.has_ended = True
        if attempt.request.attempts <= RETRIES:
            self._after(delay_s, lambda: self._attempt(attempt.request))

    def _send(
        self, flow_id: FlowId, flags: Flag, size: int, seq: int, ack: int
    ) -> None:
        segment = Segment(b"", int(flags), *flow_id, size, seq, ack)
        by = flow_id.caller % len(self._balancers)
        self.world.send_packet(self._balancers[by], segment)

    def _poll(self) -> None:
        packets = self.world.caller_packets
        for segment in packets[self._seen :]:
            attempt = self._attempts.get(segment.outward)
            if attempt is not None:
                self._receive(attempt, segment)
        self._seen = len(packets)
        self._after(POLL_S, self._poll)

    def _receive(self, attempt: _Attempt, segment: Segment) -> None:
        if segment.flags & Flag.RST:
            self._fail(attempt, RETRY_DELAY_S)
        elif segment.size:
            at = self.clock.now + CALLER_DELAY_S
            request = attempt.request
            request.answered_at = min(request.answered_at, at)
        elif not attempt.is_open and not attempt.has_ended:
            attempt.is_open = True
            flow_id = attempt.flow_id
            self._after(
                2 * CALLER_DELAY_S,
                lambda: self._send(flow_id, Flag.ACK, 50, 101, 501),
            )

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        self.clock.after(delay_s, call)

    # Processes

    def _start_balancer(self, node: NodeId) -> None:
        rng = random.Random(f"{self._seed} {node}")
        access = new_access(rng)
        keys = (
            "conf",
            "m/",
            "m/agents/",
            "m/balancers/",
            "m/scopes",
            "m/routes",
        )
        identity = BalancerIdentity(node, PLACE, (), *keys)
        entry = Registration(access, "m/balancers/" + node, rng)
        self.world.nodes[node] = RelayBalancer(
            identity, FakeCodec(), _read_table, access, entry
        )

    def _start_agent(self, node: NodeId, service_s: float) -> None:
        rng = random.Random(f"{self._seed} {node}")
        access = new_access(rng)
        identity = AgentIdentity(
            node, PLACE, SERVICE, 1, ANNOUNCE_S, (), self.clock.now
        )
        entry = Registration(access, "m/agents/" + node, rng)
        codec = FakeCodec()
        self.world.nodes[node] = RelayAgent(
            identity, codec, access, entry, rng
        )

        def send(segment: Segment) -> None:
            sent = ServerPacketReceived(codec.decode(encode(segment)))
            self.world.dispatch(node, sent)

        server = TimedServer(self.clock, send, service_s)
        self.world.servers[node] = server
        self.servers.append(server)
        self._announced[node] = 0

    def _announce(self) -> None:
        for node, sequence in self._announced.items():
            self._announced[node] = sequence + 1
            age_s = float(self.clock.now)
            announced = ServerAnnounced(
                f"s {node}", 1, sequence + 1, SERVICE, ServerPhase.READY, 1, 0
            )
            announced = msgspec.structs.replace(announced, age_s=age_s)
            self.world.dispatch(node, announced)
        self._after(ANNOUNCE_S, self._announce)


def _read_table(text: str) -> RouteTable:
    return msgspec.json.decode(text, type=RouteTable)
