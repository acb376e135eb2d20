"""Whether a service ran before, by one key in the store.

It is read only if no agent's history of homes covers the whole window,
as in a new service: no agent can then prove that an earlier process did
not run a key.
"""

from ..effects import CallStore
from ..ids import Incarnation
from ..ids import NodeId
from ..ids import ServiceName
from ..ids import StoreCallId
from ..store import Conflict
from ..store import Found
from ..store import Get
from ..store import Put
from ..store import StoreAnswer
from ..store import Written
from .events import Go

FOUNDER_CALL = StoreCallId(0x52455155)
"""Store call id of the founder lookup; at most one call is open."""


class Founder:
    """The first process that served a service.

    ``known`` is that process once the store has answered.
    """

    def __init__(self, me: Go, service: ServiceName) -> None:
        self.known: Go | None = None
        self._me = me
        self._key = f"requests/founder/{service}"
        self._value = f"{me.node} {me.incarnation}"
        self._open = False
        self._paused = False

    @property
    def is_me(self) -> bool:
        """Whether this process has seen all runs of its service."""
        return self.known == self._me and not self._paused

    def mark_paused(self) -> None:
        """Record that this process was paused and may have missed runs."""
        self._paused = True

    def ask(self) -> list[CallStore]:
        """Read the store, unless the founder is known or a call is open."""
        if self._open or self.known is not None:
            return []
        self._open = True
        return [CallStore(FOUNDER_CALL, Get(self._key))]

    def on_store_answer(self, answer: StoreAnswer) -> list[CallStore]:
        """Handle the store's answer; return further calls."""
        match answer:
            case Found(items=()):
                put = Put(self._key, self._value, expected=0)
                return [CallStore(FOUNDER_CALL, put)]
            case Found(items=items):
                self.known = _parse(items[0].value)
            case Written():
                self.known = self._me
            case Conflict():
                return [CallStore(FOUNDER_CALL, Get(self._key))]
            case _:
                # A write without an answer may have succeeded: the next
                # call reads the key again.
                pass
        self._open = False
        return []


def _parse(value: str) -> Go:
    node, _, incarnation = value.partition(" ")
    return Go(NodeId(node), Incarnation(int(incarnation)))
