"""Schedule of random faults: kills, restarts, pauses, drains and cuts."""

import enum
import functools
import random

from medlar_core.events import StopAsked
from medlar_core.ids import NodeId
from medlar_core.members.view import ServerState

from .callers import Callers
from .fleet import Fleet

VIEW_DELAY_MAX_S = 3.0
"""Longest time that a membership change takes to reach a process."""
DETECTION_RANGE_S = (1.0, 2.5)
"""Range of the time until a silent process is removed from the views."""


class Fault(enum.Enum):
    """Kinds of faults; each affects a randomly chosen process."""

    KILL_SERVER = "kill a server with its agent"
    RESTART_AGENT = "restart an agent beside its server"
    PAUSE_AGENT = "pause an agent"
    DRAIN = "drain a server and replace it"
    KILL_BALANCER = "kill a balancer and replace it"
    STOP_BALANCER = "stop a balancer as planned"
    PAUSE_BALANCER = "pause a balancer"
    STORE = "take the store down"
    CUT = "cut a balancer or agent from an agent"


KILL_FAULTS = (Fault.KILL_SERVER, Fault.RESTART_AGENT)


class Schedule:
    """Injects random faults, on average one every ``period_s`` seconds."""

    def __init__(
        self,
        fleet: Fleet,
        callers: Callers,
        seed: int,
        faults: tuple[Fault, ...] = tuple(Fault),
    ) -> None:
        self.injected: list[tuple[float, Fault, NodeId]] = []
        self._fleet = fleet
        self._callers = callers
        self._rng = random.Random(seed)
        self._faults = faults
        self._balancers = len(fleet.balancers)
        fleet.net.faults.loss = 0.05
        fleet.net.faults.duplicate = 0.05
        fleet.link.lost = 0.01
        fleet.link.doubled = 0.02

    def run(self, since: float, until: float, period_s: float) -> None:
        """Schedule the faults between two times."""
        at = since
        while at < until:
            fault = self._rng.choice(self._faults)
            self._fleet.clock.at(at, functools.partial(self._do, fault))
            at += self._rng.expovariate(1.0 / period_s)

    def _do(self, fault: Fault) -> None:
        fleet = self._fleet
        server = self._some_server()
        balancer = self._rng.choice(
            [b for b in fleet.balancers if b in fleet.net.hosts]
        )
        if server is None:
            return
        self.injected.append((fleet.clock.now, fault, server))
        match fault:
            case Fault.KILL_SERVER:
                self._kill_server(server)
            case Fault.RESTART_AGENT:
                fleet.restart_agent(server)
                fleet.send_views(VIEW_DELAY_MAX_S)
            case Fault.PAUSE_AGENT:
                self._pause_agent(server)
            case Fault.DRAIN:
                fleet.drain(server)
                fleet.send_views(VIEW_DELAY_MAX_S)
                fleet.clock.after(1.0, lambda: self._leave(server))
                fleet.start_server(fleet.service(server))
                fleet.send_views(VIEW_DELAY_MAX_S)
            case Fault.KILL_BALANCER:
                fleet.kill(balancer)
                self._callers.lost(balancer)
                self._replace(balancer)
            case Fault.STOP_BALANCER:
                self._stop(balancer)
            case Fault.PAUSE_BALANCER:
                fleet.net.pause(balancer)
                pause = self._rng.uniform(1.5, 12.0)
                fleet.clock.after(pause, lambda: fleet.net.resume(balancer))
            case Fault.STORE:
                fleet.store.down = True
                fleet.clock.after(
                    self._rng.uniform(2.0, 10.0), self._restore_store
                )
            case Fault.CUT:
                self._cut(server)

    def _some_server(self) -> NodeId | None:
        """Return a ready server whose service has another ready server."""
        fleet = self._fleet
        ready = [
            s
            for s in fleet.members.values()
            if s.state is ServerState.READY and s.id in fleet.net.hosts
        ]
        spare = [
            s.id
            for s in ready
            if sum(o.service == s.service for o in ready) > 1
        ]
        return self._rng.choice(spare) if spare else None

    def _kill_server(self, node: NodeId) -> None:
        fleet = self._fleet
        service = fleet.service(node)
        fleet.kill_server(node)
        detect = self._rng.uniform(*DETECTION_RANGE_S)
        fleet.clock.after(detect, lambda: fleet.send_views(VIEW_DELAY_MAX_S))
        again = self._rng.uniform(0.5, 6.0)
        address = node if self._rng.random() < 0.5 else None

        def start() -> None:
            fleet.start_server(service, address)
            fleet.send_views(VIEW_DELAY_MAX_S)

        fleet.clock.after(again, start)

    def _pause_agent(self, node: NodeId) -> None:
        """Pause an agent so that it is considered dead, then resume it."""
        fleet = self._fleet
        member = fleet.members[node]
        fleet.net.pause(node)

        def remove_member() -> None:
            if fleet.members.pop(node, None) is not None:
                fleet.send_views(VIEW_DELAY_MAX_S)

        def back() -> None:
            fleet.net.resume(node)
            if node in fleet.net.hosts:
                fleet.members[node] = member
                fleet.send_views(VIEW_DELAY_MAX_S)

        fleet.clock.after(self._rng.uniform(*DETECTION_RANGE_S), remove_member)
        fleet.clock.after(self._rng.uniform(3.0, 30.0), back)

    def _leave(self, node: NodeId) -> None:
        """Kill a draining server once its agent has no open work."""
        fleet = self._fleet
        host = fleet.net.hosts.get(node)
        if host is None or node not in fleet.members:
            return
        if getattr(host, "open_work", 0) == 0:
            fleet.kill_server(node)
            fleet.send_views(VIEW_DELAY_MAX_S)
            return
        fleet.clock.after(1.0, lambda: self._leave(node))

    def _stop(self, node: NodeId) -> None:
        """Stop a balancer; callers send it no further requests."""
        fleet = self._fleet
        if node in fleet.balancers:
            fleet.balancers.remove(node)
        fleet.net.dispatch(node, StopAsked())
        self._end_balancer(node)
        self._replace(node)

    def _end_balancer(self, node: NodeId) -> None:
        fleet = self._fleet
        host = fleet.net.hosts.get(node)
        if host is None:
            return
        if getattr(host, "open_work", 0) == 0:
            fleet.kill(node)
            self._callers.lost(node)
            return
        fleet.clock.after(0.5, lambda: self._end_balancer(node))

    def _replace(self, node: NodeId) -> None:
        fleet = self._fleet
        if node in fleet.balancers:
            fleet.balancers.remove(node)
        live = [b for b in fleet.balancers if b in fleet.net.hosts]
        if len(live) < self._balancers:
            number = len(self.injected)
            fleet.start_balancer(NodeId(f"10.3.{number // 250}.{number}:1"))

    def _restore_store(self) -> None:
        self._fleet.store.down = False

    def _cut(self, node: NodeId) -> None:
        """Partition an agent from one other process for 1 to 5 seconds."""
        net = self._fleet.net
        other = self._rng.choice([n for n in net.hosts if n != node])
        pair = {node, other}
        earlier = net.cut

        def cut(a: NodeId, b: NodeId) -> bool:
            return {a, b} == pair or earlier(a, b)

        net.cut = cut

        def heal() -> None:
            net.cut = earlier

        self._fleet.clock.after(self._rng.uniform(1.0, 5.0), heal)
