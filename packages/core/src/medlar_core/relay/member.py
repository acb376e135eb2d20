"""One agent as known to a process: its last report and its signs of life."""

from collections.abc import Iterable

import msgspec

from ..ids import Seconds
from .messages import AgentReport

SILENT_S = 0.7
"""An agent that has sent no report for longer is silent: it isn't chosen as
an owner."""
SILENT_REPORTS = 3.5
"""Reports missed before an agent is silent, where it has so many peers that
these take longer than ``SILENT_S``."""
UNREGISTERED_S = 2.5
"""A silent agent without an entry in the store is removed after this: a
live agent has written its entry again by then."""
AGENT_EXPIRY_S = 60.0
"""A silent agent is removed after this even if its entry in the store has
not been seen to be missing."""
REPLY_TIMEOUT_S = 0.3
"""An agent that has not replied to a request for its report after this is
silent."""
NO_REPLY_S = 1.6
"""An agent that has not replied for this, to several requests, may be
removed."""

NEVER = float("-inf")


class Member(msgspec.Struct):
    """One agent in the membership of this process.

    ``last_report_at`` is when the last report from the agent itself was
    received, ``added_at`` when it became known, ``unregistered_at`` since
    when the store has no entry of it. ``assigned`` counts the new flows
    that this process forwarded to it since its last report. ``heard_at`` is
    when its last message of any kind was received, ``asked_at`` when its
    report was first requested since then.
    """

    report: AgentReport
    last_report_at: float = NEVER
    added_at: float = 0.0
    unregistered_at: float | None = None
    assigned: int = 0
    heard_at: float = NEVER
    asked_at: float | None = None

    def silent_s(self, now: Seconds) -> float:
        """Return the time since its last message."""
        return now - max(self.last_report_at, self.heard_at)

    def is_silent(
        self,
        now: Seconds,
        limit_s: float = SILENT_S,
        reply_limit_s: float = REPLY_TIMEOUT_S,
    ) -> bool:
        """Return whether its last message is older than a limit.

        The limit is raised to ``SILENT_REPORTS`` periods of its reports
        if that is longer, unless it has not replied to a request for
        ``reply_limit_s``.
        """
        silent_s = self.silent_s(now)
        if silent_s <= limit_s:
            return False
        if self.asked_at is not None and now - self.asked_at > reply_limit_s:
            return True
        return silent_s > SILENT_REPORTS * self.report.period_s


def recently_reporting(
    members: Iterable[Member], now: Seconds
) -> list[Member]:
    """Return the members that are not silent."""
    return [member for member in members if not member.is_silent(now)]


def is_expired(now: Seconds, member: Member) -> bool:
    """Return whether an agent is to be removed."""
    if now - known_at(member) > max(
        AGENT_EXPIRY_S, SILENT_REPORTS * member.report.period_s
    ):
        return True
    since = member.unregistered_at
    if since is None:
        return False
    if not member.is_silent(now, UNREGISTERED_S, NO_REPLY_S):
        return False
    return now - since > UNREGISTERED_S


def known_at(member: Member) -> float:
    """Return when an agent was last heard, or became known if it never was."""
    return max(member.last_report_at, member.heard_at, member.added_at)
