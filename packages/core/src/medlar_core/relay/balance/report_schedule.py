"""Schedule of the reports that an agent sends about itself."""

from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from ...effects import Send
from ...ids import NodeId
from ...ids import Seconds
from ..messages import AgentReport
from ..messages import LoadReport
from ..send_interval import ReportInterval
from .choice import RECENT_LOAD_S

FULL_REPORT_INTERVAL_S = 2.0
"""Full reports are repeated at this interval, for receivers that missed a
change."""
FULL_REPORT_ROUNDS = 3
"""Rounds of full reports after a change, as datagrams may be lost."""
WHOLE_ROUNDS = 2
"""Rounds to all receivers after a change where reports are sparse."""


class ReportSchedule:
    """Schedules the reports to one group of processes.

    Most rounds send a :class:`LoadReport`, those after a change and some
    others the full report. Rounds are due at an interval, or at once
    after :meth:`make_due`. ``rotation`` differs between processes, so that
    sparse reports of many do not reach one receiver at the same time.
    """

    def __init__(self, period_s: float, rotation: int = 0) -> None:
        self._interval = ReportInterval(period_s, RECENT_LOAD_S)
        self._last_without_load: AgentReport | None = None
        self._full_rounds = 0
        self._full_report_at = 0.0
        self._whole_rounds = 0
        self._rotation = rotation

    def make_due(self) -> None:
        """Make a round due at once, with the full report."""
        self._interval.make_due()
        self._full_rounds = FULL_REPORT_ROUNDS
        self._whole_rounds = WHOLE_ROUNDS

    def is_due(self, now: Seconds) -> bool:
        """Return whether a round is due."""
        return self._interval.is_due(now)

    def period_s(self, peers: int) -> float:
        """Return the time between two reports to each of ``peers`` peers."""
        return self._interval.period_s(peers)

    def due(
        self,
        now: Seconds,
        nodes: Sequence[NodeId],
        read_report: Callable[[], AgentReport],
    ) -> list[Send]:
        """Return the reports to send to the nodes now."""
        if not self._interval.due(now, len(nodes)):
            return []
        report = msgspec.structs.replace(
            read_report(), period_s=self._interval.period_s(len(nodes))
        )
        if self._interval.is_sparse(len(nodes)):
            return [Send(node, report) for node in self._next_nodes(nodes)]
        if self._is_full_report_due(now, report):
            return [Send(node, report) for node in nodes]
        load = LoadReport(
            report.incarnation,
            report.count,
            report.busy,
            report.flows,
            report.waiting,
            report.wait_ms,
            report.service_ms,
            report.room,
        )
        return [Send(node, load) for node in nodes]

    def _next_nodes(self, nodes: Sequence[NodeId]) -> Sequence[NodeId]:
        """Return who gets a sparse report: all after a change, else one."""
        if self._whole_rounds:
            self._whole_rounds -= 1
            return nodes
        self._rotation = (self._rotation + 1) % len(nodes)
        return [nodes[self._rotation]]

    def _is_full_report_due(self, now: Seconds, report: AgentReport) -> bool:
        without_load = msgspec.structs.replace(
            report,
            count=0,
            busy=0,
            flows=0,
            waiting=0,
            wait_ms=0,
            service_ms=0,
            room=0,
        )
        if without_load != self._last_without_load:
            self._last_without_load = without_load
            self._full_rounds = FULL_REPORT_ROUNDS
        if self._full_rounds:
            self._full_rounds -= 1
        elif now < self._full_report_at:
            return False
        self._full_report_at = now + FULL_REPORT_INTERVAL_S
        return True
