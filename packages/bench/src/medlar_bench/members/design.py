"""One real balancer amid the messages that the design size sends it."""

from collections.abc import Iterable
import itertools
import random
import time
from typing import Any

from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import Tick
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.keys.key import Key
from medlar_core.keys.seal import Sealer
from medlar_core.keys.seal import Unsealed
from medlar_core.members.assign import assign
from medlar_core.members.balancer import BalancerMembers
from medlar_core.members.gossip import GOSSIP_COPIES
from medlar_core.members.load import cycle_s
from medlar_core.members.load import Grid
from medlar_core.members.load import grid_neighbours
from medlar_core.members.messages import Ack
from medlar_core.members.messages import Announce
from medlar_core.members.messages import Beat
from medlar_core.members.messages import Digest
from medlar_core.members.messages import News
from medlar_core.members.messages import Probe
from medlar_core.members.messages import ProbeAck
from medlar_core.members.messages import Records
from medlar_core.members.messages import Same
from medlar_core.members.places import Places
from medlar_core.members.record import pack
from medlar_core.members.record import Record
from medlar_core.members.record import Role
from medlar_core.members.reporter import HEARTBEAT_S
from medlar_core.members.reporter import watchers_checksum
from medlar_core.members.view import ServerState
from medlar_core.members.view import View
from medlar_core.storeaccess.access import StoreAccess
import medlar_core.wire as wire
from medlar_fakes.net import TICK_S
from medlar_fakes.net import wire_bytes

from .fleet import REGIONS
from .fleet import SERVERS_PER_SERVICE
from .work import FLOWS
from .work import RESTARTS_PER_DAY

KEY = Key(b"benchmark key of 32 bytes length")
EPOCH = 1
CHANGES_PER_RESTART = 4
NEWS_PER_S = RESTARTS_PER_DAY * CHANGES_PER_RESTART / 86400


class DesignNode:
    """A balancer that knows all processes of a fleet of some size.

    What others would send it is made from the same records and sealed by
    them outside of the time that is taken.
    """

    def __init__(self, balancers: int, agents: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self._places = Places(REGIONS)
        self.records = _records(balancers, agents)
        self._me = self.records[0]
        rng = random.Random(seed)
        self._host = BalancerMembers(
            self._me, (), rng, StoreAccess(rng), self._places
        )
        self._ids = [record.id for record in self.records[:balancers]]
        self._servers = [record.id for record in self.records[balancers:]]
        self._by_id = {record.id: record for record in self.records}
        everyone = self.records[:balancers]
        watchers = assign(self.records, everyone, self._places)
        self._beaters = [n for n, w in watchers.items() if self._me.id in w]
        self._checks = {
            n: watchers_checksum(watchers[n]) for n in self._beaters
        }
        self._own = watchers[self._me.id]
        self._seen: dict[NodeId, int] = {}
        self._beats = itertools.count()
        self._sealers: dict[NodeId, Sealer] = {}
        self._sealer = Sealer((KEY,), self._me.id, EPOCH)
        self._total = 0
        self.now = Seconds(0.0)
        self.spent_s = 0.0
        self.messages = 0
        self.wire_bytes = 0
        self._join()

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        steps = round(seconds / TICK_S)
        for step in range(steps):
            self.now = Seconds(self.now + TICK_S)
            self._take([], Tick())
            for src, msg in self._due(step):
                self._receive(src, msg)

    @property
    def view(self) -> View:
        """What the balancer knows."""
        return self._host.view

    def settled(self) -> "DesignNode":
        """Run for a second and return this node."""
        self.run(1.0)
        return self

    def timed(self, seconds: float) -> float:
        """Let virtual time pass; return the processor time in seconds."""
        self.spent_s = 0.0
        self.messages = 0
        self.wire_bytes = 0
        self.run(seconds)
        return self.spent_s

    def _join(self) -> None:
        packed = pack(self.records[1:])
        self._receive(self._ids[1], Records(0, packed))
        self._receive(self._ids[1], Same(1))

    def _due(self, step: int) -> Iterable[tuple[NodeId, Any]]:
        """Return what others send in this tick."""
        period = round(HEARTBEAT_S / TICK_S)
        for number, node in enumerate(self._beaters):
            if number % period == step % period:
                yield node, self._beat(node)
        if step % round(1.0 / TICK_S) == 0 and self._total:
            yield self._rng.choice(self._ids[1:]), Digest(self._total, 0)
        if self._rng.random() < NEWS_PER_S * GOSSIP_COPIES * TICK_S:
            yield self._rng.choice(self._ids[1:]), self._news()
        yield from self._loads()

    def _beat(self, node: NodeId) -> Beat:
        record = self._by_id[node]
        want = next(self._beats) // max(1, len(self._beaters)) % 2
        flows = self._rng.randrange(FLOWS - 50, FLOWS + 50)
        seen = self._seen.get(node, 0)
        crc = self._checks[node]
        busy = self._rng.randrange(3)
        return Beat(
            record.incarnation, record.seq, seen, crc, want, flows, busy
        )

    def _news(self) -> News:
        node = self._rng.choice(self._servers)
        return News(pack([self._by_id[node]]))

    def _loads(self) -> Iterable[tuple[NodeId, Any]]:
        """Return the load messages of the row and column in this tick."""
        row, column = grid_neighbours(self._me.id, tuple(self._ids))
        period = cycle_s(len(self._ids), len(self._servers))
        share = TICK_S / period
        each = len(self._servers) / len(self._ids)
        for hop, mates, count in (
            (1, row, each),
            (2, column, each * (len(row) + 1)),
        ):
            if self._rng.random() < share * len(mates):
                src = self._rng.choice(mates)
                for msg in self._load_messages(hop, round(count)):
                    yield src, msg

    def _load_messages(self, hop: int, count: int) -> list[Any]:
        grid = Grid()
        for node in self._rng.sample(self._servers, count):
            flows = self._rng.randrange(FLOWS - 50, FLOWS + 50)
            grid.reported(node, flows, self._rng.randrange(3))
        return grid.messages_now(hop)

    def _receive(self, src: NodeId, msg: Any) -> None:
        sealer = self._sealers.get(src)
        if sealer is None:
            sealer = self._sealers[src] = Sealer((KEY,), src, EPOCH)
        sealed = sealer.seal(self.now, wire.encode(msg), self._me.id)
        start = time.process_time()
        opened = self._sealer.open(self.now, sealed)
        assert isinstance(opened, Unsealed)
        event = Received(opened.src, wire.decode(opened.body))
        self.spent_s += time.process_time() - start
        self.messages += 1
        self.wire_bytes += wire_bytes(msg)
        self._take([src], event)

    def _take(self, froms: list[NodeId], event: Any) -> None:
        start = time.process_time()
        effects = self._host.reduce(self.now, event)
        sent = [effect for effect in effects if isinstance(effect, Send)]
        for effect in sent:
            self._sealer.seal(self.now, wire.encode(effect.msg), effect.dst)
        self.spent_s += time.process_time() - start
        self.messages += len(sent)
        for effect in sent:
            self.wire_bytes += wire_bytes(effect.msg)
            self._answer(effect.dst, effect.msg)

    def _answer(self, dst: NodeId, msg: Any) -> None:
        """Answer what the balancer sends as the others would."""
        match msg:
            case Ack(version=version):
                self._seen[dst] = version
            case Digest(total=total):
                self._total = total
            case Probe():
                record = self._by_id[dst]
                self._receive(dst, ProbeAck(record.incarnation))
            case Announce(record=record):
                self._receive(dst, _known(record))
            case Beat(want=1):
                self._receive(dst, _known(self._host.record))


def _known(record: Record) -> Ack:
    return Ack(record.incarnation, record.seq, 0, 1)


def _records(balancers: int, agents: int) -> list[Record]:
    """Return the records of a fleet, its balancers first."""
    places = list(REGIONS)
    found = []
    for number in range(balancers + agents):
        is_balancer = number < balancers
        place = places[number % len(places)]
        index = 0 if is_balancer else (number - balancers)
        service = f"svc{index // SERVERS_PER_SERVICE}"
        record = Record(
            NodeId(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7"),
            Role.BALANCER if is_balancer else Role.SERVER,
            Incarnation(1_700_000_000 + number),
            0 if is_balancer else 2,
            ServerState.READY,
            place,
            ServiceName("" if is_balancer else service),
        )
        found.append(record)
    return found
