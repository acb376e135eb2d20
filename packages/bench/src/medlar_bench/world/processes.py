"""Records of the processes that the world started."""

import msgspec

from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.ids import Version
from medlar_core.members.view import ServerState
from medlar_core.members.view import View


class Process(msgspec.Struct):
    """One start of a balancer or, with a service, of an agent.

    Times are virtual seconds. ``versions`` lists the configuration
    versions that came into force in the process, in order. ``view`` is
    its latest membership view; ``removed`` lists the servers that
    stopped being ready in its views.
    """

    node: NodeId
    place: PlaceName
    service: ServiceName | None
    incarnation: Incarnation
    started_at: float
    drained_at: float | None = None
    ended_at: float | None = None
    killed: bool = False
    versions: list["InForce"] = msgspec.field(default_factory=list)
    view: View | None = None
    removed: list["Removed"] = msgspec.field(default_factory=list)

    @property
    def lives(self) -> bool:
        """Whether it was neither killed nor stopped."""
        return self.ended_at is None

    @property
    def serves(self) -> bool:
        """Whether it is alive and was not asked to drain or stop."""
        return self.lives and self.drained_at is None

    def update_view(self, view: View, at: float) -> None:
        """Store a new view and record the servers no longer ready in it."""
        before = ready_servers_of(self.view)
        self.removed += [
            Removed(server, at)
            for server in sorted(before - ready_servers_of(view))
        ]
        self.view = view

    @property
    def version(self) -> Version:
        """The version in force in the process, 0 before the first."""
        return self.versions[-1].version if self.versions else Version(0)


class InForce(msgspec.Struct, frozen=True):
    """A configuration version that came into force."""

    version: Version
    at: float


class Removed(msgspec.Struct, frozen=True):
    """A server that stopped being ready in a process's view."""

    server: NodeId
    at: float


def ready_servers_of(view: View | None) -> frozenset[NodeId]:
    """Return the servers that a view shows as ready."""
    if view is None:
        return frozenset()
    ready = ServerState.READY
    return frozenset(s.id for s in view.servers if s.state is ready)
