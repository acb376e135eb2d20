"""Callers with long-lived flows, and the server side of these flows."""

import collections
from collections.abc import Callable
import functools

import msgspec

from medlar_core.events import PacketArrived
from medlar_core.events import ServerSent
from medlar_core.ids import NodeId
from medlar_core.ids import ServiceName
from medlar_core.packets import Flag
from medlar_core.packets import Packet
from medlar_fakes.clock import Clock
from medlar_fakes.net import Net

PERIOD_S = 5.0
RESEND_S = 1.0
FABRIC_S = 0.001
STALLED_S = 30.0
"""A flow without a response for this long counts as broken."""


class Feed(msgspec.Struct):
    """One flow as its caller sees it.

    ``server`` is the server that opened the flow; ``sent`` is the number
    of the last new packet and ``answered`` the highest packet number that
    was answered, -1 before the first response.
    """

    caller: str
    address: str
    service: ServiceName
    opened_at: float
    server: NodeId | None = None
    sent: int = 0
    answered: int = -1
    response_received_at: float = 0.0
    reset_at: float | None = None
    closed: bool = False

    @property
    def name(self) -> str:
        """The flow as ``caller>address``."""
        return f"{self.caller}>{self.address}"


class Delivery(msgspec.Struct, frozen=True):
    """A packet that a server received."""

    at: float
    server: NodeId
    packet: Packet


class Feeds:
    """Opens flows and sends a packet each way once per period.

    ``pick`` chooses the balancer to which the network fabric sends a
    packet; ``service_of`` returns the service of a server. As in TCP, an
    unanswered packet is retransmitted.
    """

    def __init__(
        self,
        clock: Clock,
        net: Net,
        pick: Callable[[], NodeId | None],
        service_of: Callable[[NodeId], ServiceName],
    ) -> None:
        self.feeds: dict[str, Feed] = {}
        self.misrouted: list[Delivery] = []
        self.opened: list[Delivery] = []
        self._clock = clock
        self._net = net
        self._pick = pick
        self._service_of = service_of
        self._held: dict[NodeId, set[str]] = collections.defaultdict(set)

    def open(self, address: str, service: ServiceName, count: int) -> None:
        """Open flows to an address, at random times within one period."""
        for _ in range(count):
            number = len(self.feeds)
            caller = f"172.16.{number // 250}.{number % 250}:40000"
            feed = Feed(caller, address, service, self._clock.now)
            feed.response_received_at = self._clock.now
            self.feeds[feed.name] = feed
            delay = self._net.rng.random() * PERIOD_S
            self._clock.after(delay, functools.partial(self._begin, feed))

    def broken(self) -> list[Feed]:
        """Return the flows that were reset or stalled."""
        now = self._clock.now
        return [
            feed
            for feed in self.feeds.values()
            if feed.reset_at is not None
            or now - feed.response_received_at > STALLED_S
        ]

    def held_by(self, server: NodeId) -> frozenset[str]:
        """Return the names of the flows open on a server."""
        return frozenset(self._held[server])

    def deliver(self, server: NodeId, packet: Packet) -> None:
        """Receive a packet at a server and send a response."""
        name = f"{packet.caller}>{packet.address}"
        feed = self.feeds.get(name)
        if feed is None or feed.service != self._service_of(server):
            self.misrouted.append(Delivery(self._clock.now, server, packet))
            return
        if packet.flags & Flag.SYN and name not in self._held[server]:
            self._held[server].add(name)
            self.opened.append(Delivery(self._clock.now, server, packet))
            feed.server = server
        flags = Flag.ACK if name in self._held[server] else Flag.RST
        if packet.flags & Flag.SYN:
            flags |= Flag.SYN
        back = Packet(
            packet.caller, packet.address, int(flags), packet.payload
        )
        self._clock.after(
            0.0, lambda: self._net.dispatch(server, ServerSent(back))
        )

    def returned(self, packet: Packet) -> None:
        """Receive a server's packet at the caller of its flow."""
        feed = self.feeds.get(f"{packet.caller}>{packet.address}")
        if feed is None:
            return
        if packet.flags & Flag.RST:
            feed.reset_at = feed.reset_at or self._clock.now
            return
        number = int(packet.payload or b"0")
        feed.answered = max(feed.answered, number)
        feed.response_received_at = self._clock.now

    def remove_server(self, server: NodeId) -> None:
        """Remove the open flows of a server that died."""
        self._held.pop(server, None)

    def _begin(self, feed: Feed) -> None:
        self._send(feed, feed.sent)
        self._clock.every(PERIOD_S, lambda: self._next(feed))

    def _next(self, feed: Feed) -> bool:
        if feed.closed or feed.reset_at is not None:
            return False
        if feed.answered >= feed.sent:
            feed.sent += 1
            self._send(feed, feed.sent)
        return True

    def _send(self, feed: Feed, number: int) -> None:
        """Send a packet and retransmit it while it is unanswered."""
        if feed.closed or feed.reset_at or feed.answered >= number:
            return
        flags = Flag.SYN if number == 0 else Flag.ACK
        packet = Packet(
            feed.caller, feed.address, int(flags), str(number).encode()
        )
        balancer = self._pick()
        if balancer is not None:
            self._clock.after(
                FABRIC_S,
                lambda: self._net.dispatch(balancer, PacketArrived(packet)),
            )
        self._clock.after(RESEND_S, lambda: self._send(feed, number))
