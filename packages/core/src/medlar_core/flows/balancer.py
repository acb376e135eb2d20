"""Flow reducer of a balancer: chooses the agent for each packet.

A balancer keeps no flow state: every balancer routes every packet of a
flow by the tables that it computes from its membership view.
"""

from collections.abc import Sequence
import random
from typing import Any

import msgspec

from ..effects import Effect
from ..effects import Forward
from ..effects import Send
from ..events import ConfigurationChanged
from ..events import PacketArrived
from ..events import Received
from ..events import Tick
from ..events import ViewChanged
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import Seconds
from ..ids import ServiceName
from ..ids import Version
from ..members.view import View
from ..packets import Flag
from ..packets import flow_key
from ..packets import Packet
from ..verdict import Reason
from .event_recorder import EventRecorder
from .explain import BalancerAnswer
from .hints import HintCache
from .messages import Hint
from .messages import HintAck
from .messages import HintsAsked
from .messages import HintSlice
from .services import Services
from .wire import SHORT_KEY_MASK

_NONE = NodeId("")
_SYN = int(Flag.SYN)


class _Route(msgspec.Struct):
    """Route of the packets to one address.

    ``owners`` holds an index into ``ids`` for each bucket and is empty if
    the service has no server.
    """

    service: ServiceName
    ids: tuple[NodeId, ...]
    owners: Sequence[int]
    accepting: bool
    hints: dict[int, NodeId]


class BalancerFlows:
    """Handles the packets, hints and routes of one balancer."""

    def __init__(
        self, node: NodeId, place: PlaceName, rng: random.Random
    ) -> None:
        self._node = node
        self._place = place
        self._services = Services()
        self._routes: dict[str, _Route] = {}
        self._hints = HintCache(node, rng)
        self._recorder = EventRecorder(node, ServiceName(""))
        self._view: View | None = None
        self._view_at = float("-inf")

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Handle one event and return the effects to carry out."""
        match event:
            case PacketArrived(packet=packet):
                return self._handle_packet(now, packet)
            case Received(src=src, msg=msg):
                return self._handle_message(now, src, msg)
            case Tick():
                self._apply_view(now)
                return self._hints.due(now)
            case ViewChanged(view=view):
                self._view = view
                self._apply_view(now)
            case ConfigurationChanged(cfg=cfg, version=version):
                if self._services.apply_cfg(cfg, version):
                    self._update_routes(set(self._services.addresses.values()))
        return []

    def _handle_packet(self, now: Seconds, packet: Packet) -> list[Effect]:
        caller = packet.caller
        address = packet.address
        flags = packet.flags
        key = flow_key(caller, address)
        route = self._routes.get(address)
        if route is None:
            return self._refuse_address(now, packet)
        owners = route.owners
        dst = None
        if flags & _SYN:
            if not route.accepting:
                return self._refuse(now, packet, Reason.NO_SERVER)
        elif route.hints:
            dst = route.hints.get(key & SHORT_KEY_MASK)
        if dst is None:
            if not owners:
                return self._recorder.dropped(now, packet, Reason.NO_SERVER)
            dst = route.ids[owners[key % len(owners)]]
        routed = Packet(
            caller,
            address,
            flags,
            packet.payload,
            route.service,
            self._recorder.version,
            0,
            (),
            self._node,
        )
        return [Forward(dst, routed)]

    def _refuse_address(self, now: Seconds, packet: Packet) -> list[Effect]:
        """Refuse a packet to an address that belongs to no service.

        The address of an open flow may be missing only from this balancer's
        configuration, which can be out of date, so such a packet is dropped
        and the flow is not reset.
        """
        withdrawn = packet.address in self._services.withdrawn
        if packet.flags & _SYN or withdrawn:
            return self._refuse(now, packet, Reason.UNKNOWN_ADDRESS)
        return self._recorder.dropped(now, packet, Reason.UNKNOWN_ADDRESS)

    def _refuse(
        self, now: Seconds, packet: Packet, why: Reason
    ) -> list[Effect]:
        return self._recorder.reset(now, packet.caller, packet.address, why)

    def _handle_message(
        self, now: Seconds, src: NodeId, msg: Any
    ) -> list[Effect]:
        match msg:
            case Hint():
                return self._hints.handle_hint(now, src, msg)
            case HintAck():
                self._hints.acked(src, msg)
            case HintsAsked():
                return [Send(src, self._hints.make_slice(msg))]
            case HintSlice():
                self._hints.apply_slice(msg)
        return []

    def _apply_view(self, now: Seconds) -> None:
        view = self._view
        interval_s = self._services.min_view_interval_s
        if view is None or now - self._view_at < interval_s:
            return
        self._view = None
        self._view_at = now
        self._recorder.version = Version(view.version)
        changed = self._services.apply_view(view)
        self._update_routes(changed)
        balancers = tuple(sorted(b.id for b in view.balancers))
        self._hints.apply_view(balancers, set(self._services.servers))

    def _update_routes(self, changed: set[ServiceName]) -> None:
        services = self._services
        routes: dict[str, _Route] = {}
        for address, service in services.addresses.items():
            current = self._routes.get(address)
            if (
                current
                and current.service == service
                and service not in changed
            ):
                routes[address] = current
                continue
            table = services.table(service)
            hints = self._hints.holders_for(service)
            routes[address] = _Route(service, (), b"", False, hints)
            if table is not None:
                routes[address] = _Route(
                    service, table.ids, table.owners, table.accepting, hints
                )
        self._routes = routes

    def explain(
        self, now: Seconds, caller: str, address: str
    ) -> BalancerAnswer:
        """Return where this balancer sends packets of a flow, and why."""
        key = flow_key(caller, address)
        route = self._routes.get(address)
        service = route.service if route else ServiceName("")
        table = self._services.table(service) if route else None
        hinted = (
            self._hints.holders_for(service).get(key & SHORT_KEY_MASK) or _NONE
        )
        bucket = table.bucket(key) if table else -1
        candidates = table.candidates(bucket) if table else []
        if route is None:
            why = Reason.UNKNOWN_ADDRESS.value
        elif hinted:
            why = "a hint says that the flow stayed with an earlier owner"
        elif table is None:
            why = Reason.NO_SERVER.value
        else:
            why = "owner of the bucket by the members in view"
        owner = candidates[0] if candidates else _NONE
        return BalancerAnswer(
            service=service,
            bucket=bucket,
            server=(hinted or owner) if route else _NONE,
            version=self._recorder.version,
            configuration=self._services.version,
            candidates=tuple(candidates),
            hinted=hinted,
            why=why,
        )
