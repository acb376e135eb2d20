"""Small fleet of real reducers over the fakes, with injected faults."""

from collections.abc import Callable
import random
from typing import Any

from medlar_core.agent import Agent
from medlar_core.agent import AgentParams
from medlar_core.agent import make_agent
from medlar_core.balancer import Balancer
from medlar_core.balancer import BalancerParams
from medlar_core.balancer import make_balancer
from medlar_core.compose import CompositeReducer
from medlar_core.config.messages import Delta
from medlar_core.config.messages import Have
from medlar_core.effects import Deliver
from medlar_core.effects import Record
from medlar_core.effects import Return
from medlar_core.events import ConfigurationChanged
from medlar_core.events import DrainAsked
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import ServerConnections
from medlar_core.events import ServerProbed
from medlar_core.events import StopAsked
from medlar_core.events import ViewChanged
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.members.agent import Leave
from medlar_core.members.messages import News
from medlar_core.members.messages import Records
from medlar_core.timeline.hlc import StampedEvent
from medlar_core.timeline.query import merge
from medlar_core.timeline.recorder import Recorder
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net
from medlar_fakes.server import SlotServer
from medlar_fakes.store import Store

from .feeds import Feeds
from .operators import Operators
from .processes import InForce
from .processes import Process
from .work import Work

MS_PER_S = 1_000
PROBE_S = 1.0
FABRIC_S = 1.0
STOP_STEP_S = 0.1
UPDATES = (News, Records, Have, Delta)
"""Messages that carry changes of membership and configuration."""
DRAIN_LIMIT_S = 12 * 3600.0
SLOTS = 2


class World:
    """Starts processes, injects faults and advances the clock.

    ``processes`` lists every start in order. The network fabric sends a
    packet or request to a random live balancer, and to a stopping one
    only for FABRIC_S. ``wrap`` may put a meter around each reducer.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.store = Store(self.clock, seed)
        self.net = Net(self.clock, seed, self.store, self._carry, metered=True)
        self.net.cut = self._is_cut
        self.processes: list[Process] = []
        self.recorders: list[Recorder] = []
        self.servers: dict[NodeId, SlotServer] = {}
        self.feeds = Feeds(self.clock, self.net, self.pick, self.service_of)
        self.work = Work(self.clock, self.net, self.pick, self.servers)
        self.operators = Operators(self.clock, self.net)
        self.wrap: Callable[[NodeId, Reducer], Reducer] = lambda _, host: host
        self._cuts: set[frozenset[PlaceName]] = set()
        self._now: dict[NodeId, Process] = {}
        self._recorder: dict[NodeId, Recorder] = {}
        self._roles: dict[NodeId, Balancer | Agent] = {}
        self._shutdown_requested: set[NodeId] = set()

    # Processes

    def start_balancer(
        self, place: PlaceName, node: NodeId | None = None
    ) -> Process:
        """Start a balancer, or restart an ended one under its id."""
        node = node or NodeId(f"10.0.0.{len(self.processes) + 1}:7000")
        found = self._add_process(node, place, None)
        me = BalancerParams(node, place, found.incarnation, self.seeds())
        self._attach(found, make_balancer(me, self._rng()))
        return found

    def start_server(
        self,
        service: ServiceName,
        place: PlaceName,
        node: NodeId | None = None,
    ) -> Process:
        """Start a server without connections, and its agent."""
        node = node or NodeId(f"10.1.0.{len(self.processes) + 1}:7000")
        found = self._add_process(node, place, service)
        self.servers[node] = SlotServer(self.clock, SLOTS)
        self._start_agent(found, service)
        return found

    def restart_agent(self, node: NodeId) -> Process:
        """Kill and restart an agent; its server keeps running."""
        old = self._now[node]
        self._end(old, killed=True)
        assert old.service is not None
        found = self._add_process(node, old.place, old.service)
        self._start_agent(found, old.service)
        return found

    def kill(self, found: Process) -> None:
        """Kill a process, together with its server if it has one."""
        self._end(found, killed=True)
        server = self.servers.pop(found.node, None)
        if server is not None:
            server.kill()
            self.feeds.remove_server(found.node)

    def drain(self, found: Process, limit_s: float = DRAIN_LIMIT_S) -> None:
        """Start to drain a server; its flows may last until the limit."""
        found.drained_at = self.clock.now
        self.net.dispatch(found.node, DrainAsked(limit_s))

    def stop(self, found: Process) -> None:
        """Ask a process to stop; it exits when its work has ended."""
        found.drained_at = found.drained_at or self.clock.now
        if found.service is not None:
            self.net.dispatch(found.node, DrainAsked(DRAIN_LIMIT_S))
            self.net.dispatch(found.node, StopAsked())
        self.clock.after(
            FABRIC_S, lambda: self.clock.every(STOP_STEP_S, leave)
        )

        def leave() -> bool:
            return found.lives and not self._continue_stop(found)

    def live(self, service: ServiceName | None) -> list[Process]:
        """Return the live servers of a service, or balancers for None."""
        return [p for p in self._now.values() if p.service == service]

    def seeds(self) -> tuple[NodeId, ...]:
        """Return the configured seed peers: the first three balancers."""
        found = [p.node for p in self.processes if p.service is None]
        return tuple(dict.fromkeys(found))[:3]

    def pick(self) -> NodeId | None:
        """Return a random balancer, as the network fabric does.

        The fabric learns of a planned stop after FABRIC_S seconds.
        """
        known = self.clock.now - FABRIC_S
        found = [
            p.node
            for p in self.live(None)
            if p.drained_at is None or p.drained_at > known
        ]
        return self.net.rng.choice(found) if found else None

    def role(self, node: NodeId) -> Balancer | Agent:
        """Return the balancer or agent that runs in a live process."""
        return self._roles[node]

    def service_of(self, server: NodeId) -> ServiceName:
        """Return the service that a live server runs."""
        return self._now[server].service or ServiceName("")

    # Faults and time

    def cut(self, one: PlaceName, other: PlaceName) -> None:
        """Partition the network between two places."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all network partitions."""
        self._cuts.clear()

    def delay_updates(self, most_s: float) -> None:
        """Delay and reorder membership and configuration messages.

        Each message gets its own random delay of up to ``most_s`` seconds;
        probes and packets are not delayed.
        """

        def late(event: Any) -> float:
            if isinstance(event, Received) and isinstance(event.msg, UPDATES):
                return self.net.rng.random() * most_s
            return 0.0

        self.net.late = late

    def run(self, seconds: float) -> None:
        """Advance the clock by a number of seconds."""
        self.clock.run_until(self.clock.now + seconds)

    def timeline(self) -> tuple[StampedEvent, ...]:
        """Return the merged timeline of all processes so far."""
        return merge(recorder.since() for recorder in self.recorders)

    # Process internals and effects

    def _add_process(
        self, node: NodeId, place: PlaceName, service: ServiceName | None
    ) -> Process:
        earlier = [p for p in self.processes if p.node == node]
        count = Incarnation(len(earlier) + 1)
        found = Process(node, place, service, count, self.clock.now)
        self.processes.append(found)
        self._now[node] = found
        self._recorder[node] = Recorder(node)
        self.recorders.append(self._recorder[node])
        return found

    def _start_agent(self, found: Process, service: ServiceName) -> None:
        me = AgentParams(
            found.node,
            found.place,
            found.incarnation,
            self.seeds(),
            service,
        )
        self._attach(found, make_agent(me, self._rng()))
        held = sorted(self.feeds.held_by(found.node))
        pairs = [(name.split(">")[0], name.split(">")[1]) for name in held]
        self.net.dispatch(found.node, ServerConnections(tuple(pairs)))
        self._probe(found)
        self.clock.every(PROBE_S, lambda: self._probe(found))

    def _attach(self, found: Process, role: Balancer | Agent) -> None:
        reducer = role.reducer
        assert isinstance(reducer, CompositeReducer)
        reducer.parts = (*reducer.parts, _ProcessObserver(found))
        self._roles[found.node] = role
        self.net.attach(found.node, self.wrap(found.node, reducer))

    def _continue_stop(self, found: Process) -> bool:
        """Advance a planned stop; return True once the process has ended."""
        role = self._roles[found.node]
        flows = role.flows.open_flows if isinstance(role, Agent) else 0
        if flows or role.requests.open_work:
            return False
        if role.members.finished:
            self._end(found, killed=False)
            return True
        stop_event = Leave() if isinstance(role, Agent) else StopAsked()
        if found.node not in self._shutdown_requested:
            self._shutdown_requested.add(found.node)
            self.net.dispatch(found.node, stop_event)
        return False

    def _end(self, found: Process, killed: bool) -> None:
        found.ended_at = self.clock.now
        found.killed = killed
        self.net.kill(found.node)
        self._now.pop(found.node, None)
        self.work.died(found.node)

    def _probe(self, found: Process) -> bool:
        if found.lives:
            self.net.dispatch(found.node, ServerProbed(alive=True, ready=True))
        return found.lives

    def _carry(self, node: NodeId, effect: Any) -> None:
        match effect:
            case Record(event=event):
                wall_ms = int(self.clock.now * MS_PER_S)
                self._recorder[node].record(wall_ms, event)
            case Deliver(packet=packet):
                self.feeds.deliver(node, packet)
            case Return(packet=packet):
                self.feeds.returned(packet)
            case _:
                if not self.work.carry(node, effect):
                    self.operators.carry(node, effect)

    def _is_cut(self, a: NodeId, b: NodeId) -> bool:
        if not self._cuts:
            return False
        ends = [self._now[n].place for n in (a, b) if n in self._now]
        return frozenset(ends) in self._cuts

    def _rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(64))


class _ProcessObserver:
    """Reducer part that records the versions and views of a process."""

    def __init__(self, found: Process) -> None:
        self._found = found

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        match event:
            case ConfigurationChanged(version=version):
                self._found.versions.append(InForce(version, now))
            case ViewChanged(view=view):
                self._found.update_view(view, now)
        return []
