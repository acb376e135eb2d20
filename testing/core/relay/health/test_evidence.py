"""What the packets of flows show of a server, at exact times."""

import random

import pytest

from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.packets import Flag
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.flow_table import FlowTable
from medlar_core.relay.health.state import HealthState
from medlar_core.relay.health.watch import ServerWatch
from medlar_core.relay.local_server import LocalServer
from medlar_core.relay.segment import Segment
from medlar_core.relay.terms import FlowTerms

from ..kit import DESK
from ..kit import flow

NODE = NodeId("10.0.1.1:7000")
SERVICE_S = 0.03
TICK_S = 0.1
TERMS = FlowTerms(target_ms=250)
SERVER_SEQ = 1_000
REQUEST_BYTES = 200
RESPONSE_BYTES = 1_000


class Server:
    """A server of one slot beside its agent's watch, in virtual time.

    ``service_s`` is how long it works on each request, in order.
    """

    def __init__(self):
        local_server = LocalServer(1.0)
        announced = ServerAnnounced("s", 1, 1, DESK, ServerPhase.READY, 1, 0.0)
        local_server.handle_announcement(Seconds(0.0), announced)
        self.table = FlowTable(NODE)
        self.watch = ServerWatch(self.table, local_server)
        self.now = Seconds(0.0)
        self.service_s = SERVICE_S
        self.changes = []
        self.count = 0
        self._free_at = 0.0
        self._todo = []

    def open(self):
        """Open a flow with its request; return its id."""
        self.count += 1
        opened = flow(self.count)
        entry = self.table.put(self.now, opened, NODE)
        entry.terms = TERMS
        self._in(opened, Flag.SYN, 0, 100, 0)
        self._out(opened, Flag.SYN | Flag.ACK, 0, SERVER_SEQ)
        self._in(opened, Flag.ACK, REQUEST_BYTES, 101, SERVER_SEQ + 1)
        return opened

    def go_on(self, opened):
        """Let the caller send the rest of its request."""
        seq = 101 + REQUEST_BYTES
        self._in(opened, Flag.ACK, REQUEST_BYTES, seq, SERVER_SEQ + 1)

    def serve(self, size=RESPONSE_BYTES):
        """Open a flow that is served after those before it."""
        opened = self.open()
        self._free_at = max(self._free_at, self.now) + self.service_s
        self._todo.append((self._free_at, opened, size))

    def end(self, opened, size=RESPONSE_BYTES):
        """End a flow: its last packet is received before its response."""
        seq = SERVER_SEQ + 1
        self._out(opened, Flag.FIN | Flag.ACK, 0, seq + size)
        if size:
            self._out(opened, Flag.ACK, size, seq)

    def reset(self, opened):
        self._out(opened, Flag.RST, 0, SERVER_SEQ + 1)

    def run(self, seconds, rate, request):
        """Make requests at a mean rate, with ticks of the agent."""
        rng = random.Random(1)
        until, tick_at = self.now + seconds, self.now + TICK_S
        next_at = self.now + rng.expovariate(rate)
        while self.now < until:
            due_at = self._todo[0][0] if self._todo else float("inf")
            self.now = Seconds(min(next_at, due_at, tick_at))
            if self.now == tick_at:
                tick_at += TICK_S
                self.changes += self.watch.judge(self.now)
            elif self.now == due_at:
                _, opened, size = self._todo.pop(0)
                self.end(opened, size)
            elif self.now == next_at:
                next_at += rng.expovariate(rate)
                request()

    @property
    def health(self):
        return self.watch.health.state

    def _in(self, opened, flags, size, seq, ack):
        segment = Segment(b"", int(flags), *opened, size, seq, ack)
        entry = self.table.get(opened)
        self.watch.record_caller_packet(self.now, entry, segment)
        self.table.record_delivered(self.now, entry, segment)

    def _out(self, opened, flags, size, seq):
        segment = Segment(b"", int(flags), *opened[::-1], size, seq, 0)
        entry = self.table.get(opened)
        self.watch.record_packet(self.now, opened, entry, segment)
        self.table.record_server_packet(self.now, entry, segment)


def well_server():
    server = Server()
    server.run(10.0, 15, server.serve)
    assert not server.changes
    return server


def test_a_flow_whose_end_is_received_before_its_response_has_succeeded():
    server = well_server()
    server.run(5.0, 15, lambda: server.end(server.open()))
    assert server.health is HealthState.HEALTHY


def test_flows_that_end_without_a_response_make_a_server_suspect():
    server = well_server()
    server.run(2.0, 15, lambda: server.end(server.open(), size=0))
    assert server.health is HealthState.SUSPECT


def test_a_server_that_resets_a_part_of_its_flows_is_suspect():
    server = well_server()
    rng = random.Random(2)

    def request():
        if rng.random() < 0.4:
            server.reset(server.open())
        else:
            server.serve()

    server.run(3.0, 15, request)
    assert HealthState.SUSPECT in [c.new for c in server.changes]


def test_requests_that_are_overtaken_make_a_server_suspect():
    server = well_server()
    rng = random.Random(2)

    def request():
        if rng.random() < 0.4:
            server.open()
        else:
            server.serve()

    server.run(3.0, 15, request)
    assert HealthState.SUSPECT in [c.new for c in server.changes]


def test_a_server_that_answers_nothing_more_is_suspect():
    server = well_server()
    server.run(3.0, 15, server.open)
    assert server.health is HealthState.SUSPECT


@pytest.mark.parametrize("factor", [5.0, 7.5])
def test_a_slow_server_that_answers_in_order_stays_healthy(factor):
    server = well_server()
    server.service_s = factor * SERVICE_S
    server.run(10.0, 3, server.serve)
    assert not server.changes


def test_a_well_server_under_a_burst_stays_healthy():
    server = well_server()
    server.run(3.0, 80, server.serve)
    server.run(10.0, 15, server.serve)
    assert not server.changes


def test_a_server_that_answers_at_once_in_a_few_bytes_is_suspect():
    server = well_server()
    server.run(2.0, 15, lambda: server.end(server.open(), size=150))
    assert server.health is HealthState.SUSPECT


def test_work_that_often_has_brief_responses_leaves_a_server_healthy():
    server = Server()
    rng = random.Random(3)

    def request():
        if rng.random() < 0.4:
            server.end(server.open(), size=150)
        else:
            server.serve()

    server.run(20.0, 15, request)
    assert not server.changes


def test_a_full_server_that_refuses_briefly_stays_healthy():
    server = well_server()

    def request():
        if server.table.busy_count >= 8:
            server.end(server.open(), size=150)
        else:
            server.serve()

    server.run(5.0, 80, request)
    assert not server.changes


def test_long_work_beside_short_work_leaves_a_server_healthy():
    server = well_server()
    server.watch._local_server.server.slots = 4
    rng = random.Random(2)

    def request():
        opened = server.open()
        work_s = 1.0 if rng.random() < 0.1 else SERVICE_S
        server._todo.append((server.now + work_s, opened, RESPONSE_BYTES))
        server._todo.sort(key=lambda entry: entry[0])

    server.run(60.0, 10, request)
    assert not server.changes


def test_uploads_with_pauses_beside_short_requests_leave_a_server_healthy():
    server = well_server()
    server.watch._local_server.server.slots = 4
    rng = random.Random(2)
    paused = []

    def request():
        if paused and paused[0][0] <= server.now:
            _, opened = paused.pop(0)
            server.go_on(opened)
            due_at = server.now + SERVICE_S
            server._todo.append((due_at, opened, RESPONSE_BYTES))
            server._todo.sort(key=lambda entry: entry[0])
        if rng.random() < 0.1:
            paused.append((server.now + 0.6, server.open()))
        else:
            server.serve()

    server.run(60.0, 15, request)
    assert not server.changes
