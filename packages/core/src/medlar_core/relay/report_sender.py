"""Reports of an agent to other agents and to balancers."""

from collections.abc import Callable

import msgspec
import xxhash

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..ids import ServiceName
from .balance.report_schedule import ReportSchedule
from .members import Members
from .messages import AgentReport
from .messages import OtherService

PEER_REPORT_INTERVAL_S = 0.1
BALANCER_REPORT_INTERVAL_S = 0.2

INTRODUCTION_INTERVAL_S = 0.5
"""Least time between two introductions to a balancer that asks for one."""

ReadReport = Callable[[Seconds], AgentReport]
"""Returns a new report of the agent."""


class ReportSender:
    """Makes reports: periodic ones, and at once after a change.

    Before any balancer is known, they go to the seeds.
    """

    def __init__(
        self,
        node: NodeId,
        members: Members,
        seeds: tuple[NodeId, ...],
        read_report: ReadReport,
    ) -> None:
        self.seeds = seeds
        self._members = members
        self._read_report = read_report
        self._introduced_at: dict[NodeId, float] = {}
        rotation = xxhash.xxh3_64_intdigest(node.encode())
        self._peers = ReportSchedule(PEER_REPORT_INTERVAL_S, rotation)
        self._balancers = ReportSchedule(BALANCER_REPORT_INTERVAL_S, rotation)

    def make_due(self) -> None:
        """Make the reports to all due at once."""
        self._peers.make_due()
        self._balancers.make_due()

    def due(self, now: Seconds, service: ServiceName) -> list[Send]:
        """Return the reports that are due; peers are those of a service."""
        effects: list[Send] = []

        def report() -> AgentReport:
            return self._read_report(now)

        if self._peers.is_due(now):
            peers = [m.report.id for m in self._members.of(service)]
            effects += self._peers.due(now, peers, report)
        if self._balancers.is_due(now):
            balancers = list(self._members.balancers) or list(self.seeds)
            effects += self._balancers.due(now, balancers, report)
        return effects

    def report_to(
        self, now: Seconds, node: NodeId, service: ServiceName
    ) -> AgentReport:
        """Return a report to one process, with the period of those to it."""
        balancers = self._members.balancers
        if node in balancers:
            period_s = self._balancers.period_s(len(balancers))
        else:
            peers = len(self._members.of(service))
            period_s = self._peers.period_s(peers)
        return msgspec.structs.replace(
            self._read_report(now), period_s=period_s
        )

    def reports_to_new_balancers(
        self, now: Seconds, service: ServiceName, asker: NodeId | None
    ) -> list[Send]:
        """Return reports to balancers that have been sent none.

        ``asker`` is a balancer that wants a report unless one was sent to
        it just now.
        """
        known = self._members.balancers
        sent_at = self._introduced_at
        for node in sent_at.keys() - known.keys():
            del sent_at[node]
        if asker and now - sent_at.get(asker, now) > INTRODUCTION_INTERVAL_S:
            del sent_at[asker]
        if len(sent_at) == len(known):
            return []
        new = [node for node in known if node not in sent_at]
        sent_at.update(dict.fromkeys(new, now))
        report = self.report_to(now, new[0], service)
        return [Send(node, report) for node in new]

    def reports_to_new_members(
        self, now: Seconds, service: ServiceName
    ) -> list[Send]:
        """Return reports to new members of a service."""
        if not self._members.new_agents:
            return []
        new_members = [
            report.id
            for report in self._members.pop_new_agents()
            if report.service == service
        ]
        if not new_members:
            return []
        own_report = self.report_to(now, new_members[0], service)
        return [Send(node, own_report) for node in new_members]

    def correction(
        self, now: Seconds, src: NodeId, msg: AgentReport, service: ServiceName
    ) -> list[Send]:
        """Reply to an agent that takes this one for one of its service.

        The local server may have been replaced by one of another service.
        """
        if msg.id != src or msg.service == service:
            return []
        report = self.report_to(now, src, service)
        return [Send(src, OtherService(msg.service, report))]
