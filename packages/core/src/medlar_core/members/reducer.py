"""Membership of both roles, as the top-level reducers use it."""

from .agent import AgentMembers
from .agent import Leave
from .balancer import BalancerMembers
from .places import Places
from .record import Record
from .record import Role

__all__ = [
    "AgentMembers",
    "BalancerMembers",
    "Leave",
    "Places",
    "Record",
    "Role",
]
