"""Whether a service ever ran before: one key in the store tells.

Only agents of a service that is new as a whole ask, as none of them can
vouch that a key was not run by an earlier process.
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
"""Store call id of this part; only one call is ever open."""


class Founder:
    """The first process that ever served a service.

    ``known`` is that process once the store told it.
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
        """Whether this process saw all that its service ever ran."""
        return self.known == self._me and not self._paused

    def paused(self) -> None:
        """Note that this process stood still and may have missed a lot."""
        self._paused = True

    def ask(self) -> list[CallStore]:
        """Ask the store, unless it told or a call is open."""
        if self._open or self.known is not None:
            return []
        self._open = True
        return [CallStore(FOUNDER_CALL, Get(self._key))]

    def answered(self, answer: StoreAnswer) -> list[CallStore]:
        """Take the store's answer; more calls may follow."""
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
                # A write without an answer may hold: read it next time.
                pass
        self._open = False
        return []


def _parse(value: str) -> Go:
    node, _, incarnation = value.partition(" ")
    return Go(NodeId(node), Incarnation(int(incarnation)))
