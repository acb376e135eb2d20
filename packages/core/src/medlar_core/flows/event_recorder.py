"""Time-line events of the flow part."""

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
    """Writes events of one process, those about packets within a rate."""

    def __init__(self, node: NodeId, service: ServiceName) -> None:
        self.version = Version(0)
        self._node = node
        self._service = service
        self._limiter = RateLimiter(RECORDS_PER_S, RECORDS_PER_S)

    def event(
        self, topic: Topic, text: str, why: Reason, flow: str = ""
    ) -> Record:
        """Return the effect that puts an event on the time line."""
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
        """Note that a packet ends here without a word to its caller."""
        return self._note(now, packet, why, "packet dropped")

    def reset(
        self, now: Seconds, caller: str, address: str, why: Reason
    ) -> list[Effect]:
        """Reset a flow towards its caller."""
        packet = Packet(caller, address, int(Flag.RST))
        return [Return(packet), *self._note(now, packet, why, "flow reset")]

    def _note(
        self, now: Seconds, packet: Packet, why: Reason, text: str
    ) -> list[Effect]:
        if not self._limiter.try_acquire(now):
            return []
        flow = f"{packet.caller}>{packet.address}"
        return [self.event(Topic.PACKET, text, why, flow)]
