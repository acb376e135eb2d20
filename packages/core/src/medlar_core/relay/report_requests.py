"""Requests for reports, of agents whose load or state has to be known now."""

from ..effects import Send
from .members import Members
from .messages import ReportAsked


def report_requests(members: Members) -> list[Send]:
    """Return the requests that members made since the last call."""
    return [Send(node, ReportAsked()) for node in members.pop_requests()]
