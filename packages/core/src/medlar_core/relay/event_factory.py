"""Time-line events of the relay: one place where each is made."""

from ..effects import Record
from ..ids import NodeId
from ..ids import ServiceName
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from ..verdict import Reason


class EventFactory:
    """Makes the events of one process.

    ``version`` is of the configuration in force and goes with each.
    """

    def __init__(self, node: NodeId) -> None:
        self.version = 0
        self._node = node

    def flow(
        self,
        topic: Topic,
        text: str,
        flow: object,
        service: str = "",
        server: str = "",
        why: Reason | None = None,
    ) -> Record:
        """Return the event of a decision about one flow."""
        reason = why.value if why else ""
        return self._record(topic, text, service, server, reason, str(flow))

    def state_event(
        self,
        topic: Topic,
        text: str,
        service: str = ServiceName(""),
        server: str = "",
        reason: str = "",
    ) -> Record:
        """Return the event of a change in what this process believes."""
        return self._record(topic, text, service, server, reason)

    def _record(
        self,
        topic: Topic,
        text: str,
        service: str,
        server: str,
        reason: str,
        flow: str = "",
    ) -> Record:
        return Record(
            TimelineEvent(
                topic,
                text,
                service=service,
                server=server,
                flow=flow,
                reason=reason,
                version=self.version,
            )
        )
