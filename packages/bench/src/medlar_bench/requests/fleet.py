"""Carries requests between the real reducers in virtual time.

It replaces the network adapters and simulates refused and lost
connections, late and duplicated messages, processes that die, pause and
restart, and views that reach processes at different times.
"""

import collections
from collections.abc import Callable
import functools
import random
from typing import Any

import msgspec

from medlar_core.config.model import Service
from medlar_core.events import ConfigurationChanged
from medlar_core.events import DrainAsked
from medlar_core.events import Reducer
from medlar_core.events import ViewChanged
from medlar_core.ids import AttemptId
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import RequestId
from medlar_core.ids import Version
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.requests.events import AnswerAttempt
from medlar_core.requests.events import AnswerCaller
from medlar_core.requests.events import AttemptCame
from medlar_core.requests.events import AttemptCancelled
from medlar_core.requests.events import AttemptEnded
from medlar_core.requests.events import CancelAttempt
from medlar_core.requests.events import CancelWork
from medlar_core.requests.events import StartAttempt
from medlar_core.requests.events import StartWork
from medlar_core.requests.events import WorkEnded
from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason
from medlar_core.verdict import Verdict
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net
from medlar_fakes.server import SlotServer
from medlar_fakes.store import Store

from .workloads import PLACES
from .workloads import service_time
from .workloads import Workload

CONNECT_TIMEOUT_S = 0.3
DUPLICATE_DELAY_MAX_S = 2.0
"""Longest delay of a duplicated message."""

MakeBalancer = Callable[[NodeId, random.Random], Reducer]
MakeAgent = Callable[[NodeId, Service, Incarnation, random.Random], Reducer]


class LinkFaults(msgspec.Struct):
    """Shares of attempts and responses that are lost or duplicated."""

    lost: float = 0.0
    doubled: float = 0.0


class _Open(msgspec.Struct):
    """An open attempt from a balancer to an agent."""

    start: StartAttempt
    src: NodeId


class Fleet:
    """Balancers, agents and servers of one workload.

    ``answered`` is called with a balancer and its response to a caller,
    ``ran`` with the attempt whose work started on a server. ``body_s``
    returns how long a body takes over a balancer's link and ``delay_s``
    how long a short message waits there, in seconds.
    """

    def __init__(
        self,
        load: Workload,
        seed: int,
        make_balancer: MakeBalancer,
        make_agent: MakeAgent,
        balancers: int = 3,
    ) -> None:
        self.load = load
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.store = Store(self.clock, seed)
        self.net = Net(self.clock, seed, self.store, self._carry)
        self.link = LinkFaults()
        self.answered: Callable[[NodeId, AnswerCaller], None] = _ignore
        self.ran: Callable[[StartAttempt], None] = lambda start: None
        self.servers: dict[NodeId, SlotServer] = {}
        self.members: dict[NodeId, Server] = {}
        self.balancers: list[NodeId] = []
        self._service: dict[NodeId, Service] = {}
        self.shedding: dict[NodeId, float] = {}
        self.body_s: Callable[[NodeId, int], float] = lambda node, size: 0.0
        self.delay_s: Callable[[NodeId], float] = lambda node: 0.0
        self.attempts: collections.Counter[RequestId] = collections.Counter()
        self._open: dict[AttemptId, _Open] = {}
        self._seen: dict[AttemptId, StartAttempt] = {}
        self._make_balancer = make_balancer
        self._make_agent = make_agent
        self._view_sent: dict[Reducer, int] = {}
        self._version = 0
        self._incarnation = 0
        for number in range(balancers):
            self.start_balancer(NodeId(f"10.1.0.{number}:1"))
        for service, count in zip(load.services, load.servers, strict=True):
            for _ in range(count):
                self.start_server(service)
        self.send_views(0.0)

    def start_balancer(self, node: NodeId) -> None:
        """Start a balancer and add it to the fleet."""
        host = self._make_balancer(node, random.Random(self.rng.random()))
        self.net.attach(node, host)
        self.balancers.append(node)
        self._configure(node)

    def start_server(
        self,
        service: Service,
        node: NodeId | None = None,
        slow: float = 1.0,
        warmth: float = 1.0,
    ) -> NodeId:
        """Start a server and its agent; ``node`` reuses an address."""
        self._incarnation += 1
        id = node or NodeId(f"10.2.0.{self._incarnation}:1")
        self.servers[id] = SlotServer(self.clock, service.slots, slow)
        self._service[id] = service
        ready = warmth >= 1.0
        self.members[id] = Server(
            id=id,
            incarnation=Incarnation(self._incarnation),
            service=service.name,
            place=PLACES[self._incarnation % len(PLACES)],
            state=ServerState.READY if ready else ServerState.WARMING,
            warmth=warmth,
            slots=service.slots,
        )
        self.start_agent(id)
        return id

    def start_agent(self, node: NodeId) -> None:
        """Start the agent of a running server."""
        member = self.members[node]
        service = self.service(node)
        host = self._make_agent(
            node,
            service,
            member.incarnation,
            random.Random(self.rng.random()),
        )
        self.net.attach(node, host)
        self._configure(node)

    def service(self, node: NodeId) -> Service:
        """Return the service of a server."""
        return self._service[node]

    def restart_agent(self, node: NodeId) -> None:
        """Kill and restart an agent; its server keeps running."""
        self.kill(node)
        self._incarnation += 1
        self.change(node, incarnation=Incarnation(self._incarnation))
        self.start_agent(node)

    def change(self, node: NodeId, **fields: Any) -> None:
        """Change fields of a server's membership entry."""
        self.members[node] = msgspec.structs.replace(
            self.members[node], **fields
        )

    def send_views(self, most_s: float) -> None:
        """Send the current view to every process, each after a delay."""
        self._version += 1
        view = View(self._version, tuple(self.members.values()), ())
        for node in list(self.net.hosts):
            delay = self.rng.random() * most_s
            send = functools.partial(self._send_view, node, view)
            self.clock.after(delay, send)

    def _send_view(self, node: NodeId, view: View) -> None:
        """Send a view to a process unless it already has a newer one."""
        host = self.net.hosts.get(node)
        if host is None or self._view_sent.get(host, -1) > view.version:
            return
        self._view_sent[host] = view.version
        self.net.dispatch(node, ViewChanged(view))

    def _configure(self, node: NodeId) -> None:
        self.net.dispatch(
            node, ConfigurationChanged(self.load.cfg, Version(1))
        )
        view = View(self._version, tuple(self.members.values()), ())
        self._send_view(node, view)

    def drain(self, node: NodeId) -> None:
        """Start to drain a server."""
        self.change(node, state=ServerState.DRAINING)
        self.net.dispatch(node, DrainAsked(600.0))

    def kill(self, node: NodeId) -> None:
        """Kill a process and close its connections to other processes."""
        self.net.kill(node)
        lost = MayHaveRun(Reason.CONNECTION_LOST)
        for id, sent in list(self._open.items()):
            if sent.start.dst == node:
                del self._open[id]
                self._end(sent.src, AttemptEnded(id, lost))
            elif sent.src == node:
                del self._open[id]
                self._give(sent.start.dst, AttemptCancelled(id))

    def kill_server(self, node: NodeId) -> None:
        """Kill a server with its agent."""
        self.servers[node].kill()
        self.kill(node)
        self.members.pop(node, None)

    def busy(self, service: str) -> list[int]:
        """Return the busy slots of each ready server of a service."""
        return [
            len(self.servers[id].running)
            for id, member in self.members.items()
            if member.service == service
        ]

    def _carry(self, node: NodeId, effect: Any) -> None:
        match effect:
            case StartAttempt():
                self._connect(node, effect)
            case CancelAttempt(attempt=attempt, dst=dst):
                self._open.pop(attempt, None)
                self._give(dst, AttemptCancelled(attempt))
            case StartWork():
                self._work(node, effect)
            case CancelWork(work=work):
                self.servers[node].cancel(work)
            case AnswerAttempt():
                self._answer(effect)
            case AnswerCaller():
                self.answered(node, effect)

    def _connect(self, src: NodeId, start: StartAttempt) -> None:
        self.attempts[start.req] += 1
        refused = NotRun(Reason.UNREACHABLE)
        if start.dst not in self.net.hosts:
            self._end(src, AttemptEnded(start.attempt, refused))
            return
        if self.net.cut(src, start.dst):
            end = AttemptEnded(start.attempt, refused)
            self.clock.after(CONNECT_TIMEOUT_S, lambda: self._end(src, end))
            return
        self._open[start.attempt] = _Open(start, src)
        self._seen[start.attempt] = start
        arrival = AttemptCame(
            src=src,
            **{
                name: getattr(start, name)
                for name in AttemptCame.__struct_fields__
                if name != "src"
            },
        )
        self._give(start.dst, arrival)
        if self.rng.random() < self.link.doubled:
            late = self.rng.random() * DUPLICATE_DELAY_MAX_S
            self.clock.after(late, lambda: self._give(start.dst, arrival))

    def _work(self, node: NodeId, work: StartWork) -> None:
        start = self._seen[work.work]
        sent = self._open.get(work.work)
        body_s = self.body_s(sent.src, start.body_bytes) if sent else 0.0
        if body_s > 0.0:
            self.clock.after(body_s, lambda: self._serve(node, work, start))
        else:
            self._serve(node, work, start)

    def _serve(
        self, node: NodeId, work: StartWork, start: StartAttempt
    ) -> None:
        server = self.servers[node]
        shed = self.rng.random() < self.shedding.get(node, 0.0)
        kinds = {k.name: k for k in self.service(node).kinds}
        time_s = service_time(self.rng, kinds[work.kind].mean_s)
        host = self.net.hosts.get(node)

        def done(whole: bool) -> None:
            # A restarted agent has no record of this work.
            if whole and self.net.hosts.get(node) is host:
                ran = Ran(200, f"answer to {start.req.split('/')[0]}", 100)
                self._later(node, WorkEnded(work.work, ran), 0.0002)

        if shed or not server.start(work.work, time_s, done):
            refused = WorkEnded(work.work, NotRun(Reason.SHED))
            self._later(node, refused, 0.001)
            return
        self.ran(start)

    def _answer(self, answer: AnswerAttempt) -> None:
        if answer.attempt not in self._open:
            return
        verdict: Verdict = answer.verdict
        end = AttemptEnded(answer.attempt, verdict, answer.load, answer.go)
        if self.rng.random() < self.link.lost:
            lost = MayHaveRun(Reason.CONNECTION_LOST)
            end = AttemptEnded(answer.attempt, lost)
        self._open.pop(answer.attempt)
        self._end(answer.dst, end)
        if self.rng.random() < self.link.doubled:
            late = self.rng.random() * DUPLICATE_DELAY_MAX_S
            self.clock.after(late, lambda: self._end(answer.dst, end))

    def _end(self, balancer: NodeId, end: AttemptEnded) -> None:
        self._give(balancer, end)

    def _give(self, node: NodeId, event: Any) -> None:
        faults = self.net.faults
        delay = faults.delay_s + self.rng.random() * faults.jitter_s
        self._later(node, event, delay)

    def _later(self, node: NodeId, event: Any, delay: float) -> None:
        self.clock.after(delay, lambda: self.net.dispatch(node, event))


def _ignore(node: NodeId, answer: AnswerCaller) -> None:
    """Default of ``Fleet.answered``: ignore the response."""
