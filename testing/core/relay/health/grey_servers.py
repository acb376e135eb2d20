"""Servers that fail in one way each while they announce themselves."""

import enum

from medlar_core.ids import NodeId
from medlar_core.packets import Flag
from medlar_core.relay.health.state import HealthState
from medlar_core.relay.messages import AgentReport
from medlar_core.relay.messages import AgentState
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import FakeServer

from ..kit import DESK
from ..kit import Fleet
from ..kit import PLACE


class Failure(enum.Enum):
    """What a server does with a flow that it fails."""

    MUTE = "answers nothing"
    HANG = "accepts flows and sends no response"
    RESET = "resets a flow at its request"
    SHED = "declines new flows with free slots"
    BRIEF = "answers at once in a few bytes"


class GreyServer(FakeServer):
    """Fails every flow in one way while ``failure`` is set.

    ``syns`` are those that it has received.
    """

    def __init__(self, failure: Failure | None = None) -> None:
        super().__init__()
        self.failure = failure
        self.syns: list[Segment] = []

    def handle(self, segment: Segment) -> list[Segment]:
        is_syn = bool(segment.flags & Flag.SYN)
        if is_syn:
            self.syns.append(segment)
        match self.failure:
            case Failure.MUTE:
                return []
            case Failure.HANG if segment.size:
                return []
            case Failure.RESET if segment.size:
                return [self._response(segment.inward, Flag.RST)]
            case Failure.BRIEF if segment.size:
                return [self._response(segment.inward, Flag.ACK, 20)]
            case Failure.SHED if is_syn:
                self.capacity = 0
        return super().handle(segment)


def put_grey(
    fleet: Fleet, address: NodeId, failure: Failure | None
) -> GreyServer:
    """Replace what runs at an agent's server address."""
    server = GreyServer(failure)
    fleet.world.servers[address] = server
    return server


def report(
    number: int,
    health: HealthState = HealthState.HEALTHY,
    state: AgentState = AgentState.READY,
    slots: int = 2,
) -> AgentReport:
    """Return the report of one agent."""
    return AgentReport(
        NodeId(f"10.0.1.{number}:7000"),
        PLACE,
        DESK,
        1,
        1,
        state,
        slots,
        health=health,
    )
