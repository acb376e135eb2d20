"""Records timeline events of the flow reducers."""

from ..effects import Effect
from ..effects import Record
from ..effects import Return
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from ..ids import Version
from ..packets import Flag
from ..packets import Packet
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from ..verdict import Reason
from .limits import RECORDS_PER_S
from .rate_limiter import RateLimiter


class EventRecorder:
    """Creates the events of one process; packet events are rate limited."""

    def __init__(self, node: NodeId, service: ServiceName) -> None:
        self.version = Version(0)
        self._node = node
        self._service = service
        self._limiter = RateLimiter(RECORDS_PER_S, RECORDS_PER_S)

    def event(
        self, topic: Topic, text: str, why: Reason, flow: str = ""
    ) -> Record:
        """Return the effect that records an event on the timeline."""
        return Record(
            TimelineEvent(
                topic,
                text,
                service=self._service,
                server=self._node,
                flow=flow,
                reason=why.value,
                version=self.version,
            )
        )

    def dropped(
        self, now: Seconds, packet: Packet, why: Reason
    ) -> list[Effect]:
        """Record that a packet was dropped; its caller gets no response."""
        return self._note(now, packet, why, "packet dropped")

    def reset(
        self, now: Seconds, caller: str, address: str, why: Reason
    ) -> list[Effect]:
        """Return a reset for the flow's caller, and record it."""
        packet = Packet(caller, address, int(Flag.RST))
        return [Return(packet), *self._note(now, packet, why, "flow reset")]

    def _note(
        self, now: Seconds, packet: Packet, why: Reason, text: str
    ) -> list[Effect]:
        if not self._limiter.try_acquire(now):
            return []
        flow = f"{packet.caller}>{packet.address}"
        return [self.event(Topic.PACKET, text, why, flow)]
