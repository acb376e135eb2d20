"""Announcements that name another service than the known server's."""

from ...effects import Send
from ...ids import Seconds
from ...ids import ServiceName
from ..events import ServerAnnounced
from ..local_server import LocalServer
from ..members import Members
from ..messages import MembersAsked


class ServiceCheck:
    """Holds an announcement back while its service may not exist.

    Until a balancer names an agent of the service, the known server is
    taken to live and to hold its flows.
    """

    def __init__(self, local_server: LocalServer, members: Members) -> None:
        self._local_server = local_server
        self._members = members
        self._unchecked: ServerAnnounced | None = None

    def holds_back(self, now: Seconds, event: ServerAnnounced) -> bool:
        """Return whether an announcement is to be checked first."""
        if not self._local_server.is_of_other_service(now, event):
            return False
        self._unchecked = event
        return True

    def query(self) -> list[Send]:
        """Return the question for agents of the service in doubt."""
        event, balancers = self._unchecked, list(self._members.balancers)
        if event is None or not balancers:
            return []
        balancer = balancers[event.sequence % len(balancers)]
        return [Send(balancer, MembersAsked(event.service))]

    def pop_checked(self, service: ServiceName) -> ServerAnnounced | None:
        """Return what was held back, if it names an existing service."""
        event = self._unchecked
        if event is None or event.service != service:
            return None
        self._unchecked = None
        return event
