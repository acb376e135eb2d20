"""How an agent keeps others informed of itself."""

from collections.abc import Callable
from collections.abc import Sequence

import msgspec

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from .messages import AgentReport
from .messages import LoadReport
from .send_interval import SendInterval

WHOLE_EVERY_S = 2.0
"""Who missed a change learns it by then."""
WHOLE_ROUNDS = 3
"""Rounds that tell the whole report after a change: datagrams get lost."""


class ReportSchedule:
    """Tells one group of processes, mostly figures alone.

    Reports go at a pace, at once after :meth:`hurry`.
    """

    def __init__(self, period_s: float) -> None:
        self._pace = SendInterval(period_s)
        self._lasting: AgentReport | None = None
        self._rounds = 0
        self._whole_at = 0.0

    def hurry(self) -> None:
        """Let the next round go at once, with the whole report."""
        self._pace.hurry()
        self._rounds = WHOLE_ROUNDS

    def due(
        self,
        now: Seconds,
        nodes: Sequence[NodeId],
        read_report: Callable[[], AgentReport],
    ) -> list[Send]:
        """Return what goes to the nodes now."""
        if not self._pace.due(now, len(nodes)):
            return []
        report = msgspec.structs.replace(
            read_report(), period_s=self._pace.period_s(len(nodes))
        )
        if self._is_whole_due(now, report):
            return [Send(node, report) for node in nodes]
        load = LoadReport(
            report.incarnation,
            report.count,
            report.busy,
            report.flows,
            report.waiting,
        )
        return [Send(node, load) for node in nodes]

    def _is_whole_due(self, now: Seconds, report: AgentReport) -> bool:
        lasting = msgspec.structs.replace(
            report, count=0, busy=0, flows=0, waiting=0
        )
        if lasting != self._lasting:
            self._lasting = lasting
            self._rounds = WHOLE_ROUNDS
        if self._rounds:
            self._rounds -= 1
        elif now < self._whole_at:
            return False
        self._whole_at = now + WHOLE_EVERY_S
        return True
