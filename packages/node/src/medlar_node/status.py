"""What a process tells of itself over HTTP."""

import msgspec

from medlar_core.flows.explain import AgentAnswer
from medlar_core.flows.explain import BalancerAnswer
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one process and the members that it knows.

    ``version`` is that of the configuration in force, 0 for none;
    ``open_flows`` and ``open_work`` count what has not ended here.
    """

    node: NodeId
    role: str
    place: PlaceName
    ready: bool
    version: int
    open_flows: int
    open_work: int
    servers: tuple[Server, ...]
    balancers: tuple[Balancer, ...]
    service: ServiceName = ServiceName("")
    state: str = ""


class ExplainRefusal(msgspec.Struct, frozen=True):
    """A question that can't be answered, and what to ask."""

    error: str


class Explanation(msgspec.Struct, frozen=True):
    """Answers of a process: routing of a flow, state of its requests."""

    node: NodeId
    version: int
    requests: msgspec.Struct
    flow: BalancerAnswer | AgentAnswer | None = None


class FlowQuery(msgspec.Struct, frozen=True):
    """The flow that a question is about; both ends are ``ip:port``."""

    caller: str
    address: str


def parse_flow_query(
    query: dict[str, str],
) -> FlowQuery | ExplainRefusal | None:
    """Return the flow that a query names, or None if it names none."""
    caller = query.get("caller", "")
    address = query.get("address", "")
    if bool(caller) != bool(address):
        return ExplainRefusal("expected both caller and address as ip:port")
    return FlowQuery(caller, address) if caller else None
