"""When an agent asks a balancer for the members of its service."""

from ..ids import NodeId
from ..ids import Seconds
from .messages import Hello

QUERY_INTERVAL_S = 0.2
"""Longer than a reply takes, as all balancers greet a new agent at once."""
MAX_QUERY_INTERVAL_S = 3.2
"""Queries are repeated at intervals that double up to this: a balancer may
count agents that are not to be learned from it, or not know their number."""


class MemberQuery:
    """Chooses whom to ask for members that an agent does not know.

    Answers the start of all processes at once: one balancer names all
    members, while the others name the newest, which it may lack.
    """

    def __init__(self) -> None:
        self._source: NodeId | None = None
        self._service_size = 0
        self._interval_s = QUERY_INTERVAL_S
        self._next_at = 0.0

    def record_hello(self, now: Seconds, hello: Hello) -> None:
        """Record how many members a balancer knows.

        One that knows more is asked at once. Later, any may be asked, as
        the first may have stopped or counted too many.
        """
        if hello.service_size > self._service_size:
            self._interval_s = QUERY_INTERVAL_S
            self._next_at = now
        elif self._interval_s < MAX_QUERY_INTERVAL_S:
            return
        self._source = hello.id
        self._service_size = hello.service_size

    def due(
        self, now: Seconds, known: int, is_confirmed: bool
    ) -> NodeId | None:
        """Return the balancer to ask now, if members may be unknown here.

        ``is_confirmed`` tells that a balancer has counted no more than are
        known.
        """
        if is_confirmed and known >= self._service_size:
            self._interval_s = QUERY_INTERVAL_S
            return None
        if now < self._next_at:
            return None
        self._next_at = now + self._interval_s
        self._interval_s = min(2 * self._interval_s, MAX_QUERY_INTERVAL_S)
        return self._source
