"""What an agent observes of its server, and how it judges it."""

from ...ids import Seconds
from ..events import ServerPhase
from ..flow_table import Flow
from ..flow_table import FlowTable
from ..local_server import LocalServer
from ..local_server import ServerIncarnation
from ..segment import FlowId
from ..segment import Segment
from .evidence import FlowEvidence
from .evidence import Observation
from .evidence import Signal
from .server_health import HealthChange
from .server_health import ServerHealth
from .state import HealthState

LOADED_PER_SLOT = 2
"""From so many waiting requests a slot on, a server that refuses more is
full and does not fail."""


class ServerWatch:
    """Feeds the outcomes of the local server's flows to its health."""

    def __init__(self, table: FlowTable, local_server: LocalServer) -> None:
        self.health = ServerHealth()
        self._table = table
        self._local_server = local_server
        self._evidence = FlowEvidence()
        self._mute_count = 0

    def record_packet(
        self, now: Seconds, flow_id: FlowId, flow: Flow, segment: Segment
    ) -> None:
        """Record a packet of the server, before the flow table does."""
        observation = self._evidence.record_server_packet(
            now, flow_id, flow, segment
        )
        if observation is None:
            return
        is_brief = observation.signal is Signal.BRIEF
        if is_brief and self._is_loaded(now):
            return
        self.health.observe(now, observation)

    def record_caller_packet(
        self, now: Seconds, flow: Flow, segment: Segment
    ) -> None:
        """Record a packet of a caller, before the flow table does."""
        self._evidence.record_caller_packet(now, flow, segment)

    def record_declined(self, now: Seconds) -> None:
        """Record that the server has declined a new flow."""
        if not self._is_loaded(now):
            self.health.observe(now, Observation(Signal.DECLINED))

    def record_restart(
        self, now: Seconds, before: ServerIncarnation | None
    ) -> None:
        """Record that another incarnation has replaced ``before``."""
        server = self._local_server.server
        if before is None or server is None:
            return
        is_same_service = before.service == server.service
        crashed = is_same_service and before.phase is ServerPhase.READY
        self._evidence.restart(now)
        self.health.record_restart(now, crashed)

    def exclude_pause(self, now: Seconds) -> None:
        """Exclude a pause of this process from what it observes."""
        self._evidence.restart(now)

    def is_mute(self, now: Seconds, flow: Flow) -> bool:
        """Return whether a SYN should go elsewhere, as it is unanswered.

        The server is silent altogether, or fails for others as well.
        """
        if not self._evidence.is_syn_unanswered(now, flow):
            return False
        if not flow.judged:
            flow.judged = True
            self.health.observe(now, Observation(Signal.SYN_UNANSWERED))
        is_silent = self._evidence.is_silent_since(flow.opened_at)
        is_suspect = self.health.state is not HealthState.HEALTHY
        if not is_silent and not is_suspect:
            return False
        self._mute_count += 1
        return True

    def judge(self, now: Seconds) -> list[HealthChange]:
        """Judge the flows that wait; return the changes of state."""
        server = self._local_server.server
        if server is not None and server.phase is ServerPhase.READY:
            for observation in self._evidence.scan(
                now, self._table.busy_flows(), server.slots
            ):
                self.health.observe(now, observation)
        self.health.update(now)
        return self.health.pop_changes()

    def gauges(self) -> dict[str, float]:
        """Return current gauge values by metric name."""
        return {
            "server_health": self.health.state.value,
            "flows_left_mute_server": self._mute_count,
        }

    def _is_loaded(self, now: Seconds) -> bool:
        server = self._local_server.server
        slots = server.slots if server is not None else 1
        return self._table.waiting_count(now) >= LOADED_PER_SLOT * slots
