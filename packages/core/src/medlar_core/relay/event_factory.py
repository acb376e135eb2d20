"""Creates the time-line events of a relay process."""

from ..effects import Record
from ..ids import NodeId
from ..ids import ServiceName
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from ..verdict import Reason
from .health.server_health import HealthChange
from .members import Removal
from .zones.known_evacuation import EvacuationChange


class EventFactory:
    """Creates the time-line events of one process.

    ``version`` is the configuration in force; every event carries it.
    """

    def __init__(self, node: NodeId) -> None:
        self.version = 0
        self._node = node

    def flow_event(
        self,
        topic: Topic,
        text: str,
        flow: object,
        service: str = "",
        server: str = "",
        why: Reason | None = None,
    ) -> Record:
        """Return the event of a decision about one flow.

        ``why`` is given if the packet is not forwarded or delivered.
        """
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
        """Return the event of a change in the state known to this process."""
        return self._record(topic, text, service, server, reason)

    def removal_event(self, removal: Removal) -> Record:
        """Return the event of the removal of an agent."""
        return self.state_event(
            Topic.MEMBERSHIP,
            f"members: agent removed, {removal.cause.value}",
            removal.report.service,
            removal.report.id,
        )

    def evacuation_event(
        self, change: EvacuationChange, source: str
    ) -> Record:
        """Return the event of a change of the evacuated places."""
        return self.state_event(
            Topic.MEMBERSHIP,
            f"places: {change.text}, as of revision {change.revision}, "
            f"received from {source}",
            reason="evacuation",
        )

    def health_event(
        self, change: HealthChange, service: ServiceName, node: NodeId
    ) -> Record:
        """Return the event of a change of health of the local server."""
        old, new = change.old.name.lower(), change.new.name.lower()
        return self.state_event(
            Topic.PLACEMENT,
            f"health: server is {new}, was {old}; first sign of it "
            f"{change.age_s:.2f} s ago",
            service,
            node,
            change.reason,
        )

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
