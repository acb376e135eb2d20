"""Public names of membership for the top-level reducers."""

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
