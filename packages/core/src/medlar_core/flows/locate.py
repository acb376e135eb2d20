"""Searches for flows whose holder is unknown."""

import msgspec

from ..ids import FlowKey
from ..ids import NodeId
from ..ids import Seconds
from .limits import ASK_GAP_S
from .limits import CONFIRM_S
from .limits import DENIALS_LIMIT
from .limits import KEYS_PER_BATCH
from .limits import LOCATE_S
from .limits import SEARCHES


class Search(msgspec.Struct):
    """A question to all members that may hold a flow.

    ``asked`` have not answered yet; ``sure`` stays true while every
    answer came from a member that knows the same members. Before the
    question is sent ``sent_at`` is None.
    """

    caller: str
    address: str
    asked: set[NodeId]
    sure: bool
    sent_at: float | None = None


class _Denial(msgspec.Struct, frozen=True):
    """All members denied a flow; ``known`` is what they agreed on."""

    at: float
    known: int


class Denials:
    """First denials of flows, to be confirmed by a second one.

    A flow that was opened by members or by a configuration that some
    process here has not heard of shows up in the time between.
    """

    def __init__(self) -> None:
        self._first: dict[FlowKey, _Denial] = {}

    def waits(self, now: Seconds, key: FlowKey, known: int) -> bool:
        """Return whether it is too early to search for a flow again."""
        first = self._first.get(key)
        if first is None or first.known != known:
            return False
        return now - first.at < CONFIRM_S

    def confirm(self, now: Seconds, key: FlowKey, known: int) -> bool:
        """Note a denial; return whether it confirms an earlier one."""
        first = self._first.pop(key, None)
        if first is not None and first.known == known:
            if now - first.at >= CONFIRM_S:
                return True
            self._first[key] = first
            return False
        if len(self._first) >= DENIALS_LIMIT:
            del self._first[next(iter(self._first))]
        self._first[key] = _Denial(now, known)
        return False


class Searches:
    """Open searches: a limited number, asked together in rounds.

    The wait between two rounds grows with the number of members asked,
    so that packets of unknown flows cannot raise the control traffic.
    """

    def __init__(self) -> None:
        self._open: dict[FlowKey, Search] = {}
        self._next_at = 0.0

    def __len__(self) -> int:
        return len(self._open)

    def wants(self, key: FlowKey) -> bool:
        """Return whether a search for a flow may be opened."""
        return key not in self._open and len(self._open) < SEARCHES

    def start(self, key: FlowKey, search: Search) -> None:
        """Open a search; it is asked in the next round."""
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

    def due(self, now: Seconds) -> dict[NodeId, list[FlowKey]]:
        """Return which members to ask now for which flows."""
        self._expire(now)
        if now < self._next_at:
            return {}
        asks: dict[NodeId, list[FlowKey]] = {}
        waiting = [i for i in self._open.items() if i[1].sent_at is None]
        for key, search in waiting[:KEYS_PER_BATCH]:
            search.sent_at = now
            for node in sorted(search.asked):
                asks.setdefault(node, []).append(key)
        self._next_at = now + ASK_GAP_S * len(asks)
        return asks

    def _expire(self, now: Seconds) -> None:
        for key, search in list(self._open.items()):
            sent_at = search.sent_at
            if sent_at is not None and now - sent_at > LOCATE_S:
                del self._open[key]
