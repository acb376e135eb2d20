"""When an agent asks a balancer for the members of its service."""

from ..ids import NodeId
from ..ids import Seconds
from .messages import Hello

QUERY_INTERVAL_S = 0.2
"""Longer than a reply takes, as all balancers greet a new agent at once."""
QUERIES_PER_HELLO = 3
"""A balancer may count agents that are not to be learned from it."""


class MemberQuery:
    """Chooses whom to ask for members that an agent does not know.

    Answers the start of all processes at once: one balancer names all
    members, while the others name the newest, which it may lack.
    """

    def __init__(self) -> None:
        self._source: NodeId | None = None
        self._service_size = 0
        self._queries_left = 0
        self._next_at = 0.0

    def record_hello(self, hello: Hello) -> None:
        """Record how many members a balancer knows."""
        if hello.service_size >= self._service_size or not self._queries_left:
            self._source = hello.id
            self._service_size = hello.service_size
            self._queries_left = QUERIES_PER_HELLO

    def due(self, now: Seconds, known: int) -> NodeId | None:
        """Return the balancer to ask now, if fewer members are known here."""
        if known >= self._service_size or not self._queries_left:
            return None
        if now < self._next_at:
            return None
        self._next_at = now + QUERY_INTERVAL_S
        self._queries_left -= 1
        return self._source
