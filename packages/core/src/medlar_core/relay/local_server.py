"""State of the server beside an agent, from its announcements."""

import msgspec

from ..ids import Seconds
from ..ids import ServiceName
from .events import ServerAnnounced
from .events import ServerLeft
from .events import ServerPhase
from .flow_table import DEFAULT_IDLE_S
from .member import NEVER
from .messages import AgentReport
from .messages import AgentState

MAX_MISSED_ANNOUNCEMENTS = 3
"""Announcements that may be missed before the server counts as down."""
FIRST_SEQUENCE = 1
"""Sequence number of an incarnation's first announcement. A server first
seen with it has no earlier flows."""
START_GAP_S = 0.5
"""A server that started at most so long before this agent process had no
agent until then: an agent that is asked to stop opens no flows at its server,
and takes longer to be replaced."""
EXTRA_CALLS = 6
"""Announcements beyond one an interval: a server repeats its first one at
once while its agent does not listen yet."""


class ServerIncarnation(msgspec.Struct):
    """One incarnation of the server, as it announced itself."""

    name: str
    born_ms: int
    sequence: int
    service: ServiceName
    phase: ServerPhase
    slots: int
    cold_until: float
    announced_at: float
    all_flows_known: bool
    """Whether it has no flows from before this agent process started."""
    observed_since: float
    """Since when all its packets have passed through this process."""
    presumed: bool = False
    """Whether it was restored from the store entry and not announced yet."""
    dropped_packet_at: float = NEVER
    """Time of the latest packet of all its flows that the agent has dropped
    as idle for too long."""

    @property
    def is_draining(self) -> bool:
        """Whether it has announced that it drains, and not yet its end."""
        return self.phase is ServerPhase.DRAINING


class LocalServer:
    """Tracks the incarnation and state of the local server."""

    def __init__(
        self, heartbeat_s: float, started_at: float = float("inf")
    ) -> None:
        self._heartbeat_s = heartbeat_s
        self._started_at = started_at
        """When this process started; infinite if unknown."""
        self._silence_limit_s = MAX_MISSED_ANNOUNCEMENTS * heartbeat_s
        self._was_absent = False
        self._is_listening: bool | None = None
        self._entry: AgentReport | None = None
        self.idle_s = DEFAULT_IDLE_S
        """How long a flow may be idle, by the newest version known."""
        self._idle_version = 0
        self.server: ServerIncarnation | None = None

    def apply_idle(self, version: int, idle_s: float) -> None:
        """Apply the idle timeout of flows of a configuration version."""
        if idle_s and version >= self._idle_version:
            self._idle_version = version
            self.idle_s = idle_s

    def record_dropped(self, last_packet_at: float) -> None:
        """Record the latest packet of flows dropped as idle for too long."""
        server = self.server
        if server is not None:
            server.dropped_packet_at = max(
                server.dropped_packet_at, last_packet_at
            )

    def handle_probe(self, now: Seconds, is_listening: bool) -> bool:
        """Record whether anything listens at the server's address.

        A server that is not running holds no flows. Returns whether the
        result has changed.
        """
        if not self.needs_probe(now):
            return False
        has_changed = is_listening is not self._is_listening
        self._is_listening = is_listening
        if self.server is None:
            self._was_absent = self._was_absent or not is_listening
            self._presume_from_entry(now)
        return has_changed

    def needs_probe(self, now: Seconds) -> bool:
        """Return whether only a probe tells if the server runs."""
        return self.server is None or self.state(now) is AgentState.DOWN

    def restore_entry(self, now: Seconds, entry: AgentReport) -> None:
        """Record the store entry of an earlier process of this agent."""
        if self.server is None:
            self._entry = entry
            self._presume_from_entry(now)

    def _presume_from_entry(self, now: Seconds) -> None:
        """Assume that a listening server is the one of the store entry.

        Flows are placed at it without a gap until it announces itself.
        """
        entry = self._entry
        if entry is None or not self._is_listening:
            return
        if entry.state is not AgentState.READY:
            return
        self.server = ServerIncarnation(
            entry.server,
            entry.server_born,
            0,
            entry.service,
            ServerPhase.READY,
            entry.slots,
            now,
            now,
            all_flows_known=False,
            observed_since=now,
            presumed=True,
        )

    def handle_announcement(
        self, now: Seconds, event: ServerAnnounced
    ) -> Seconds | None:
        """Handle an announcement of the server.

        Returns None if no known server was replaced, else the earliest
        time at which the new incarnation may have started: flows opened
        after it may be its own. Announcements of an earlier incarnation
        and those with an old sequence number are ignored, but for a server
        that is cold.
        """
        known = self.server
        cold_until = now + event.cold_s
        self._is_listening = None
        if known is not None and self._is_same(event):
            if event.sequence <= known.sequence:
                return None
            known.sequence = event.sequence
            known.service = event.service
            known.slots = event.slots
            known.cold_until = cold_until
            known.announced_at = now
            known.presumed = False
            if known.phase is not ServerPhase.LEFT:
                known.phase = event.phase
            return None
        presumed = known is not None and known.presumed
        if known is not None and not (presumed or self._replaces(now, event)):
            # It may be the one that runs now, if the clock was set back.
            known.cold_until = max(known.cold_until, cold_until)
            return None
        self.server = ServerIncarnation(
            event.server,
            event.born_ms,
            event.sequence,
            event.service,
            event.phase,
            event.slots,
            cold_until,
            now,
            self._was_absent
            or event.sequence <= FIRST_SEQUENCE
            or self._started_with_agent(now, event),
            observed_since=now,
        )
        if known is None or presumed:
            return None
        return Seconds(max(known.announced_at, now - event.age_s))

    def is_of_other_service(
        self, now: Seconds, event: ServerAnnounced
    ) -> bool:
        """Return whether an announcement may be another process's.

        It names another service than a server that announces itself and
        has not ended. A server keeps its service.
        """
        known = self.server
        if known is None or known.phase is ServerPhase.LEFT:
            return False
        if event.born_ms < known.born_ms:
            return False
        is_silent = now - known.announced_at > self._silence_limit_s
        return event.service != known.service and not is_silent

    def _started_with_agent(
        self, now: Seconds, event: ServerAnnounced
    ) -> bool:
        """Return whether no earlier agent process relayed to the server.

        Answers the start of everything after a loss of power. The number
        of announcements shows a server that seems younger than it is, as
        the clock was set back since it started.
        """
        uptime_s = now - self._started_at
        if event.age_s > uptime_s + START_GAP_S:
            return False
        return event.sequence <= uptime_s / self._heartbeat_s + EXTRA_CALLS

    def handle_departure(self, event: ServerLeft) -> bool:
        """Record that the server ends; return whether it is the known one."""
        known = self.server
        if known is None or known.name != event.server:
            return False
        if event.born_ms and event.born_ms < known.born_ms:
            return False
        known.phase = ServerPhase.LEFT
        return True

    def exclude_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the server's silence."""
        if self.server is not None:
            self.server.announced_at += seconds
            self.server.observed_since += seconds

    def state(self, now: Seconds) -> AgentState:
        """Return the state that the agent reports."""
        server = self.server
        if server is None:
            return AgentState.STARTING
        if server.phase is ServerPhase.LEFT:
            return AgentState.GONE
        if now - server.announced_at > self._silence_limit_s:
            return AgentState.DOWN
        if server.is_draining:
            return AgentState.DRAINING
        return AgentState.READY

    def knows_all_flows(self, now: Seconds, idle_s: float = 0.0) -> bool:
        """Return whether the agent's table has all flows of the server.

        ``idle_s`` is how long these may be idle, if that is more than this
        agent has been told. True after as long an observation: a flow
        without a packet in that time has expired. False while a dropped flow
        may not have expired by this timeout. Also true if there is no
        server. A server that no longer announces itself may still run and
        hold flows.
        """
        idle_s = max(idle_s, self.idle_s)
        server = self.server
        if server is None:
            return self._was_absent
        if server.phase is ServerPhase.LEFT:
            return True
        if self.state(now) is AgentState.DOWN and self._is_listening is False:
            return True
        if now - server.dropped_packet_at <= idle_s:
            return False
        if server.all_flows_known:
            return True
        return now - server.observed_since > idle_s

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
        # The clock may have been set back between two starts of a server.
        return now - known.announced_at > self._silence_limit_s
