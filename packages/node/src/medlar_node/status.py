"""Bodies of the status and explain responses of a process."""

import msgspec

from medlar_core.flows.explain import AgentAnswer
from medlar_core.flows.explain import BalancerAnswer
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import ServiceName
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of a process and the members that it knows.

    ``version`` is that of the configuration in force, 0 for none;
    ``open_flows`` and ``open_work`` count the flows and requests open here.
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
    """Error for an invalid explain query: what was expected."""

    error: str


class Explanation(msgspec.Struct, frozen=True):
    """Explanation of a flow's routing and of the state of requests."""

    node: NodeId
    version: int
    requests: msgspec.Struct
    flow: BalancerAnswer | AgentAnswer | None = None


class FlowQuery(msgspec.Struct, frozen=True):
    """The flow of an explain query; both ends are ``ip:port``."""

    caller: str
    address: str


def parse_flow_query(
    query: dict[str, str],
) -> FlowQuery | ExplainRefusal | None:
    """Return the flow in a query, or None if it has none."""
    caller = query.get("caller", "")
    address = query.get("address", "")
    if bool(caller) != bool(address):
        return ExplainRefusal("expected both caller and address as ip:port")
    return FlowQuery(caller, address) if caller else None
