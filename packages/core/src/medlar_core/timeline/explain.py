"""Answers to operators' questions, worked out from the time line."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
from typing import TypeAlias

import msgspec

from ..ids import NodeId
from ..packets import flow_key
from .events import Topic
from .hlc import StampedEvent
from .query import MergedTimeline
from .query import tells_of

_OUT = (Topic.MEMBERSHIP, Topic.DRAIN, Topic.PROCESS, Topic.STORE)
_ROUTING = (Topic.PLACEMENT, Topic.HANDOVER, Topic.DRAIN, Topic.MEMBERSHIP)
LATEST = 5
"""Events of the surroundings that an answer shows."""


class FlowQuestion(msgspec.Struct, frozen=True):
    """Why did this flow go where it went; both ends are ``ip:port``."""

    caller: str
    address: str


class RequestQuestion(msgspec.Struct, frozen=True):
    """Why did this request end as it did."""

    request: str


class ServerQuestion(msgspec.Struct, frozen=True):
    """Why is this server in or out."""

    server: str


class VersionQuestion(msgspec.Struct, frozen=True):
    """Which version of the configuration is in force where."""


Question: TypeAlias = (
    FlowQuestion | RequestQuestion | ServerQuestion | VersionQuestion
)


class Confidence(enum.Enum):
    """How far an answer can be trusted."""

    FOUND = "found"
    PARTIAL = "some processes did not answer"
    NOTHING = "nothing on the time line tells of it"


class Answer(msgspec.Struct, frozen=True):
    """What the time line tells: a sentence and the events behind it."""

    sentence: str
    sure: Confidence
    events: tuple[StampedEvent, ...]


class InForce(msgspec.Struct, frozen=True):
    """The version of the configuration that a process last took."""

    node: NodeId
    version: int


def explain(question: Question, gathered: MergedTimeline) -> Answer:
    """Answer a question from the gathered time line."""
    events = gathered.events
    match question:
        case FlowQuestion():
            found = _flow(question, events)
        case RequestQuestion(request=request):
            found = _where(events, lambda item: item.event.request == request)
        case ServerQuestion(server=server):
            found = _server(server, events)
        case VersionQuestion():
            return _versions(gathered)
    if not found:
        return Answer(_nothing(question), Confidence.NOTHING, ())
    last = found[-1]
    sentence = f"{last.event.text} (told by {last.node})"
    if last.event.reason:
        sentence += f", reason {last.event.reason}"
    return Answer(sentence, _sure(gathered), found)


def in_force(events: Iterable[StampedEvent]) -> tuple[InForce, ...]:
    """Return the latest configuration version that each process told."""
    latest: dict[NodeId, int] = {}
    for item in events:
        event = item.event
        if event.topic is Topic.CONFIGURATION and event.version:
            latest[item.node] = event.version
    return tuple(InForce(n, v) for n, v in sorted(latest.items()))


def flow_names(caller: str, address: str) -> frozenset[str]:
    """Return the ways in which events name a flow."""
    key = flow_key(caller, address)
    return frozenset({f"{caller}>{address}", str(key), f"{key:016x}"})


def _flow(
    question: FlowQuestion, events: Sequence[StampedEvent]
) -> tuple[StampedEvent, ...]:
    """Return the events of a flow, and before them what moved around it.

    Flows are too many to record each: where none tells of this one, the
    latest changes of routing of the services in question still do.
    """
    names = flow_names(question.caller, question.address)
    own = _where(events, lambda item: item.event.flow in names)
    services = {item.event.service for item in own}
    around = _where(
        events,
        lambda item: (
            item.event.topic in _ROUTING
            and not item.event.flow
            and item.event.service in services
            and item.stamp <= own[-1].stamp
        ),
    )
    return around[-LATEST:] + own if own else ()


def _server(
    server: str, events: Sequence[StampedEvent]
) -> tuple[StampedEvent, ...]:
    return _where(
        events,
        lambda item: item.event.topic in _OUT and tells_of(item, server),
    )


def _versions(gathered: MergedTimeline) -> Answer:
    """Tell which versions are in force and where an older one still is."""
    found = in_force(gathered.events)
    if not found:
        return Answer(_nothing(VersionQuestion()), Confidence.NOTHING, ())
    newest = max(entry.version for entry in found)
    behind = [entry for entry in found if entry.version < newest]
    sentence = f"version {newest} is in force on {len(found) - len(behind)}"
    sentence += f" of {len(found)} processes"
    for entry in behind:
        sentence += f"; {entry.node} still has {entry.version}"
    return Answer(sentence, _sure(gathered), _latest_versions(gathered))


def _latest_versions(gathered: MergedTimeline) -> tuple[StampedEvent, ...]:
    latest = {
        item.node: item
        for item in gathered.events
        if item.event.topic is Topic.CONFIGURATION and item.event.version
    }
    return tuple(latest.values())


def _where(
    events: Iterable[StampedEvent], wanted: Callable[[StampedEvent], bool]
) -> tuple[StampedEvent, ...]:
    return tuple(item for item in events if wanted(item))


def _sure(gathered: MergedTimeline) -> Confidence:
    return Confidence.PARTIAL if gathered.silent else Confidence.FOUND


def _nothing(question: Question) -> str:
    match question:
        case FlowQuestion(caller=caller, address=address):
            return f"no event tells of the flow {caller} to {address}"
        case RequestQuestion(request=request):
            return f"no event tells of the request {request}"
        case ServerQuestion(server=server):
            return f"no event tells of the server {server}"
        case VersionQuestion():
            return "no process told of a configuration in force"
