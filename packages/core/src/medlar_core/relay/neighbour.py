"""What the agent knows of the server beside it."""

import msgspec

from ..ids import Seconds
from ..ids import ServiceName
from .events import ServerAnnounced
from .events import ServerLeft
from .events import ServerPhase
from .flowtable import DEFAULT_IDLE_S
from .messages import AgentReport
from .messages import AgentState

MISSED_BEATS = 3
"""Announcements that may be missed before the server is held dead."""
FIRST_SEQUENCE = 1
"""A server whose first announcement this was has no earlier flows."""

_NO_SERVER = (AgentState.DOWN, AgentState.GONE)


class Server(msgspec.Struct):
    """One incarnation of the server, as it announced itself."""

    name: str
    born_ms: int
    sequence: int
    service: ServiceName
    phase: ServerPhase
    slots: int
    cold_until: float
    heard_at: float
    whole: bool
    """Whether it has no flows from before this process."""
    seen_at: float
    """Since when all its packets pass through this process."""
    presumed: bool = False
    """Not announced to this process yet."""


class Neighbour:
    """Follows the server's announcements and tells what changed."""

    def __init__(self, beat_s: float) -> None:
        self._silent_s = MISSED_BEATS * beat_s
        self._absent = False
        self._alive: bool | None = None
        self._entry: AgentReport | None = None
        self.idle_s = DEFAULT_IDLE_S
        self.server: Server | None = None

    def probed(self, now: Seconds, alive: bool) -> bool:
        """Note whether anything listens where the server would.

        Before the first announcement only: a server that is not there
        holds no flows. Returns whether this is news.
        """
        if self.server is not None:
            return False
        is_news = alive is not self._alive
        self._absent = self._absent or not alive
        self._alive = alive
        self._presume(now)
        return is_news

    def remembered(self, now: Seconds, entry: AgentReport) -> None:
        """Note what an earlier process of this agent said in the store."""
        if self.server is None:
            self._entry = entry
            self._presume(now)

    def _presume(self, now: Seconds) -> None:
        """Take a server that listens to be the one of the entry.

        It announces itself soon; until then it goes on being served.
        """
        entry = self._entry
        if entry is None or not self._alive:
            return
        if entry.state is not AgentState.READY:
            return
        self.server = Server(
            entry.server,
            entry.server_born,
            0,
            entry.service,
            ServerPhase.READY,
            entry.slots,
            now,
            now,
            whole=False,
            seen_at=now,
            presumed=True,
        )

    def announced(
        self, now: Seconds, event: ServerAnnounced
    ) -> Seconds | None:
        """Take an announcement; return since when it is another server's.

        Flows opened later may be that server's; None tells that no known
        server was replaced. Late announcements of an earlier incarnation,
        or older than the last one, are passed over.
        """
        known = self.server
        cold_until = now + event.cold_s
        if known is not None and self._is_same(event):
            if event.sequence <= known.sequence:
                return None
            known.sequence = event.sequence
            known.service = event.service
            known.slots = event.slots
            known.cold_until = cold_until
            known.heard_at = now
            known.presumed = False
            if known.phase is not ServerPhase.LEFT:
                known.phase = event.phase
            return None
        presumed = known is not None and known.presumed
        if known is not None and not (presumed or self._replaces(now, event)):
            return None
        self.server = Server(
            event.server,
            event.born_ms,
            event.sequence,
            event.service,
            event.phase,
            event.slots,
            cold_until,
            now,
            self._absent or event.sequence <= FIRST_SEQUENCE,
            seen_at=now,
        )
        if known is None or presumed:
            return None
        return Seconds(max(known.heard_at, now - event.age_s))

    def left(self, event: ServerLeft) -> bool:
        """Note that the server ends; return whether it is this one."""
        known = self.server
        if known is None or known.name != event.server:
            return False
        if event.born_ms and event.born_ms < known.born_ms:
            return False
        known.phase = ServerPhase.LEFT
        return True

    def resumed_after_pause(self, seconds: float) -> None:
        """Leave out a time in which nobody could hear the server."""
        if self.server is not None:
            self.server.heard_at += seconds
            self.server.seen_at += seconds

    def state(self, now: Seconds) -> AgentState:
        """Return the state that the agent reports."""
        server = self.server
        if server is None:
            return AgentState.STARTING
        if server.phase is ServerPhase.LEFT:
            return AgentState.GONE
        if now - server.heard_at > self._silent_s:
            return AgentState.DOWN
        if server.phase is ServerPhase.DRAINING:
            return AgentState.DRAINING
        return AgentState.READY

    def knows_all(self, now: Seconds) -> bool:
        """Return whether flows unknown here are unknown to the server.

        All flows that are not idle for too long were seen after a while.
        """
        server = self.server
        if server is None:
            return self._absent
        if server.whole or self.state(now) in _NO_SERVER:
            return True
        return now - server.seen_at > self.idle_s

    def _is_same(self, event: ServerAnnounced) -> bool:
        known = self.server
        return (
            known is not None
            and known.name == event.server
            and known.born_ms == event.born_ms
        )

    def _replaces(self, now: Seconds, event: ServerAnnounced) -> bool:
        known = self.server
        assert known is not None
        if event.born_ms > known.born_ms:
            return True
        # Clocks may be set back between two starts of a server.
        return now - known.heard_at > self._silent_s
