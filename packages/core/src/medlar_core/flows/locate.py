"""Searches for flows whose holder is unknown."""

import msgspec

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from .limits import LOCATE_S
from .limits import LOCATES
from .limits import LOCATES_PER_S
from .meter import Meter


class Search(msgspec.Struct):
    """A question to all members that may hold a flow.

    ``asked`` have not answered yet; ``sure`` stays true while every
    answer came from a member that knows the same members.
    """

    caller: str
    address: str
    started: float
    asked: set[NodeId]
    sure: bool


class Searches:
    """Open searches, few at a time and limited in rate."""

    def __init__(self) -> None:
        self._open: dict[FlowKey, Search] = {}
        self._meter = Meter(LOCATES_PER_S, LOCATES)

    def __len__(self) -> int:
        return len(self._open)

    def may_start(self, now: Seconds, key: FlowKey) -> bool:
        """Return whether a search may start, and count it."""
        self._expire(now)
        if key in self._open or len(self._open) >= LOCATES:
            return False
        return self._meter.passes(now)

    def start(self, key: FlowKey, search: Search) -> None:
        """Open a search."""
        self._open[key] = search

    def found(self, key: FlowKey) -> None:
        """Close a search: a holder answered."""
        self._open.pop(key, None)

    def denied(self, key: FlowKey, src: NodeId, agrees: bool) -> Search | None:
        """Note that a member does not hold the flow.

        Return the search if that was the last answer, and close it.
        """
        search = self._open.get(key)
        if search is None:
            return None
        search.asked.discard(src)
        search.sure = search.sure and agrees
        if search.asked:
            return None
        return self._open.pop(key)

    def _expire(self, now: Seconds) -> None:
        for key, search in list(self._open.items()):
            if now - search.started <= LOCATE_S:
                break
            del self._open[key]
