"""What balancers know of flows that stay behind when buckets move."""

import random

import msgspec

from ..effects import Effect
from ..effects import Send
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .limits import DIRECTORY_S
from .limits import HINT_ASK_S
from .limits import HINT_FANOUT
from .limits import HINT_PARTS_MIN
from .limits import HINT_TRIES
from .limits import HINTS_LIMIT
from .limits import LATEST_BATCHES
from .limits import PEERS_PER_PART
from .limits import RETRY_S
from .messages import Hint
from .messages import HintAck
from .messages import HintsAsked
from .messages import HintSlice
from .wire import pack_marks
from .wire import unpack_marks


class _Relay(msgspec.Struct):
    """A batch on its way to the balancer at a place in the tree."""

    position: int
    msg: Hint
    sent_at: float
    tries: int = 1


class HintBook:
    """Marks of displaced flows and their holders, as hints only.

    A wrong mark costs a packet one more hop. Marks that were not told
    in the last generation are forgotten. Batches come along a tree of
    balancers, each hop acknowledged.
    """

    def __init__(self, node: NodeId, rng: random.Random) -> None:
        self._node = node
        self._rng = rng
        self._count = 0
        self._marks: dict[ServiceName, dict[int, NodeId]] = {}
        self._fresh: dict[ServiceName, set[int]] = {}
        self._turn_at = 0.0
        self._seen: dict[tuple[NodeId, Incarnation, int], None] = {}
        self._relays: dict[tuple[NodeId, NodeId, int], _Relay] = {}
        self._balancers: tuple[NodeId, ...] = ()
        self._names: dict[NodeId, NodeId] = {}
        self._parts_left: list[int] | None = None
        self._parts = 0
        self._ask_at = 0.0

    def __len__(self) -> int:
        return self._count

    def of(self, service: ServiceName) -> dict[int, NodeId]:
        """Return holders by mark for a service; the dict stays in use."""
        return self._marks.setdefault(service, {})

    def take_view(
        self, balancers: tuple[NodeId, ...], servers: set[NodeId]
    ) -> None:
        """Take in the live members; hints of gone servers are dropped."""
        self._balancers = balancers
        if self._parts_left is None and len(balancers) > 1:
            self._parts = max(HINT_PARTS_MIN, len(balancers) // PEERS_PER_PART)
            self._parts_left = list(range(self._parts))
        gone = self._names.keys() - servers
        if not gone:
            return
        for node in gone:
            del self._names[node]
        for marks in self._marks.values():
            for found in [m for m, i in marks.items() if i in gone]:
                del marks[found]
        self._recount()

    def received(self, now: Seconds, src: NodeId, msg: Hint) -> list[Effect]:
        """Take a batch in, acknowledge it and pass it on once."""
        ack = HintAck(msg.holder, msg.incarnation, msg.batch)
        effects: list[Effect] = [Send(src, ack)]
        name = (msg.holder, msg.incarnation, msg.batch)
        if name in self._seen:
            return effects
        if len(self._seen) >= LATEST_BATCHES:
            del self._seen[next(iter(self._seen))]
        self._seen[name] = None
        self._note(msg.service, unpack_marks(msg.marks), msg.holder)
        mine = self._position(msg)
        return effects + self._pass_on(now, msg, mine)

    def acked(self, src: NodeId, msg: HintAck) -> None:
        """Note that a balancer has a batch."""
        self._relays.pop((src, msg.holder, msg.batch), None)

    def answer(self, msg: HintsAsked) -> HintSlice:
        """Return the slice that a new balancer asks for."""
        parts = max(1, msg.parts)
        rows = [
            (found, holder, service)
            for service, marks in self._marks.items()
            for found, holder in marks.items()
            if found % parts == msg.part
        ]
        pairs = sorted({(holder, service) for _, holder, service in rows})
        numbers = {pair: number for number, pair in enumerate(pairs)}
        return HintSlice(
            part=msg.part,
            parts=parts,
            holders=tuple(holder for holder, _ in pairs),
            services=tuple(service for _, service in pairs),
            marks=pack_marks([found for found, _, _ in rows]),
            numbers=pack_marks([numbers[h, s] for _, h, s in rows]),
        )

    def answered(self, msg: HintSlice) -> None:
        """Take a slice in; what was learnt since is newer."""
        numbers = unpack_marks(msg.numbers)
        pairs = list(zip(msg.holders, msg.services, strict=False))
        for found, number in zip(
            unpack_marks(msg.marks), numbers, strict=False
        ):
            if number >= len(pairs):
                continue
            holder, service = pairs[number]
            if found not in self.of(service):
                self._note(service, [found], holder)
        left = self._parts_left or []
        if msg.parts == self._parts and msg.part in left:
            left.remove(msg.part)

    def due(self, now: Seconds) -> list[Effect]:
        """Return repeats and questions to send now."""
        if now >= self._turn_at:
            self._turn_at = now + DIRECTORY_S / 2
            self._forget_untold()
        effects = self._repeat(now)
        if self._parts_left and now >= self._ask_at:
            effects += self._ask(now, self._parts_left)
        return effects

    def _note(
        self, service: ServiceName, marks: list[int], holder: NodeId
    ) -> None:
        holder = self._names.setdefault(holder, holder)
        known = self.of(service)
        before = len(known)
        room = max(0, HINTS_LIMIT - self._count)
        known.update(dict.fromkeys(marks[:room], holder))
        self._fresh.setdefault(service, set()).update(marks[:room])
        self._count += len(known) - before

    def _forget_untold(self) -> None:
        """Forget marks that nobody told since the last time."""
        for service, marks in self._marks.items():
            kept = self._fresh.get(service, set())
            for found in [m for m in marks if m not in kept]:
                del marks[found]
        self._fresh = {}
        self._recount()

    def _recount(self) -> None:
        self._count = sum(len(marks) for marks in self._marks.values())

    def _position(self, msg: Hint) -> int:
        """Return this balancer's place in the tree of a batch."""
        ring = self._balancers
        if self._node not in ring or msg.root not in ring:
            return len(ring)
        return (ring.index(self._node) - ring.index(msg.root)) % len(ring)

    def _pass_on(self, now: Seconds, msg: Hint, position: int) -> list[Effect]:
        ring = self._balancers
        effects: list[Effect] = []
        first = position * HINT_FANOUT + 1
        for child in range(first, min(first + HINT_FANOUT, len(ring))):
            node = ring[(ring.index(msg.root) + child) % len(ring)]
            self._relays[node, msg.holder, msg.batch] = _Relay(child, msg, now)
            effects.append(Send(node, msg))
        return effects

    def _repeat(self, now: Seconds) -> list[Effect]:
        """Send again what was not acknowledged, then go round it."""
        effects: list[Effect] = []
        for name, relay in list(self._relays.items()):
            if now - relay.sent_at < RETRY_S:
                continue
            if relay.tries < HINT_TRIES and name[0] in self._balancers:
                relay.tries += 1
                relay.sent_at = now
                effects.append(Send(name[0], relay.msg))
                continue
            del self._relays[name]
            if relay.msg.root in self._balancers:
                effects += self._pass_on(now, relay.msg, relay.position)
        return effects

    def _ask(self, now: Seconds, left: list[int]) -> list[Effect]:
        peers = [i for i in self._balancers if i != self._node]
        self._ask_at = now + HINT_ASK_S
        if not peers:
            return []
        left.append(left.pop(0))
        asked = HintsAsked(left[-1], self._parts)
        return [Send(self._rng.choice(peers), asked)]
