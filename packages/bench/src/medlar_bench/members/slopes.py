"""Print what each role spends on membership at several sizes.

One JSON line per size and role: state bytes, messages and bytes per
second (sent and received together), share of a core. The balancer of
each size is real, amid the messages that such a fleet sends it; the
agent is one of a service of that many servers. State counts all that is
held for the process, what stands for the others included.
"""

import gc
import random
import time
import tracemalloc
from typing import Any

import msgspec

from medlar_core.effects import Send
from medlar_core.events import LoadMeasured
from medlar_core.events import Received
from medlar_core.events import Tick
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.members.agent import AgentMembers
from medlar_core.members.messages import Ack
from medlar_core.members.messages import Announce
from medlar_core.members.messages import Beat
from medlar_core.members.record import pack
from medlar_core.members.record import Record
from medlar_core.members.record import Role
from medlar_core.members.view import ServerState
from medlar_core.storeaccess.access import StoreAccess
import medlar_core.wire as wire
from medlar_fakes.net import TICK_S
from medlar_fakes.net import wire_bytes

from .design import DesignNode
from .fleet import AGENTS_PER_BALANCER

BALANCERS = (90, 180, 360, 720)
SERVICE_SERVERS = (5, 10, 40, 160, 640)
SECONDS = 30.0
SEED = 1


class Line(msgspec.Struct, frozen=True):
    """What one process of a role spends at a size."""

    role: str
    balancers: int
    servers: int
    service_servers: int
    state_bytes: int
    messages_s: float
    bytes_s: float
    core_share: float


def balancer_line(balancers: int) -> Line:
    """Measure a balancer in a fleet of a size."""
    agents = round(balancers * AGENTS_PER_BALANCER)
    state, _ = _held(lambda: DesignNode(balancers, agents, SEED).settled())
    node = DesignNode(balancers, agents, SEED)
    node.run(5.0)
    core = node.timed(SECONDS) / SECONDS
    messages = node.messages / SECONDS
    rate = node.wire_bytes / SECONDS
    return Line("balancer", balancers, agents, 0, state, messages, rate, core)


def agent_line(servers: int) -> Line:
    """Measure an agent of a service of so many servers."""
    state, agent = _held(lambda: _Agent(servers))
    messages, rate, core = agent.timed(SECONDS)
    return Line("agent", 0, 0, servers, state, messages, rate, core)


def _held(make: Any) -> tuple[int, Any]:
    """Return the bytes that an object holds, and the object."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held, made


class _Agent:
    """A real agent and a balancer that answers it."""

    def __init__(self, servers: int) -> None:
        rng = random.Random(SEED)
        self._record = _record(0)
        self._watchers = (NodeId("10.1.0.1:7"), NodeId("10.1.0.2:7"))
        access = StoreAccess(rng)
        self._host = AgentMembers(self._record, self._watchers, rng, access)
        packed = pack([_record(number) for number in range(servers)])
        first = Ack(
            self._record.incarnation,
            0,
            0,
            1,
            self._watchers,
            whole=True,
            packed=packed,
        )
        self._now = Seconds(1.0)
        self._host.reduce(self._now, Received(self._watchers[0], first))
        self._host.reduce(self._now, Tick())

    def timed(self, seconds: float) -> tuple[float, float, float]:
        """Return messages and bytes a second and the share of a core."""
        messages = 0
        size = 0
        start = time.process_time()
        for _ in range(round(seconds / TICK_S)):
            self._now = Seconds(self._now + TICK_S)
            self._host.reduce(self._now, LoadMeasured(flows=1480, busy=1))
            for effect in self._host.reduce(self._now, Tick()):
                if isinstance(effect, Send):
                    told = self._exchange(effect)
                    messages += len(told)
                    size += sum(wire_bytes(msg) for msg in told)
        core = (time.process_time() - start) / seconds
        return messages / seconds, size / seconds, core

    def _exchange(self, effect: Send) -> list[Any]:
        msg = effect.msg
        wire.encode(msg)
        beat = msg.beat if isinstance(msg, Announce) else msg
        if not isinstance(beat, Beat) or not beat.want:
            return [msg]
        ack = Ack(beat.incarnation, beat.seq, 0, 2)
        event = Received(effect.dst, wire.decode(wire.encode(ack)))
        self._host.reduce(self._now, event)
        return [msg, ack]


def _record(number: int) -> Record:
    return Record(
        NodeId(f"10.2.{number >> 8}.{number & 255}:7"),
        Role.SERVER,
        Incarnation(1_700_000_000 + number),
        0,
        ServerState.READY,
        PlaceName("east-a"),
        ServiceName("svc0"),
    )


def main() -> None:
    """Print a line for each size and role."""
    lines = [balancer_line(count) for count in BALANCERS]
    lines += [agent_line(count) for count in SERVICE_SERVERS]
    for line in lines:
        print(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    main()
