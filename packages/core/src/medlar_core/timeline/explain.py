"""Answers operators' questions from the time line."""

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
from .query import involves
from .query import MergedTimeline

_SERVER_TOPICS = (Topic.MEMBERSHIP, Topic.DRAIN, Topic.PROCESS, Topic.STORE)
_ROUTING_TOPICS = (
    Topic.PLACEMENT,
    Topic.HANDOVER,
    Topic.DRAIN,
    Topic.MEMBERSHIP,
)
MAX_ROUTING_EVENTS = 5
"""Routing events that an answer shows before the events of the flow."""


class FlowQuestion(msgspec.Struct, frozen=True):
    """Why was this flow routed as it was; both ends are ``ip:port``."""

    caller: str
    address: str


class RequestQuestion(msgspec.Struct, frozen=True):
    """Why did this request end with its verdict."""

    request: str


class ServerQuestion(msgspec.Struct, frozen=True):
    """Why is this server in service or out of service."""

    server: str


class VersionQuestion(msgspec.Struct, frozen=True):
    """Which version of the configuration is in force on each process."""


Question: TypeAlias = (
    FlowQuestion | RequestQuestion | ServerQuestion | VersionQuestion
)


class Confidence(enum.Enum):
    """How complete the events behind an answer are."""

    FOUND = "found"
    PARTIAL = "some processes did not answer"
    NO_EVENTS = "nothing on the time line tells of it"


class Answer(msgspec.Struct, frozen=True):
    """An answer in one sentence and the events that support it."""

    sentence: str
    sure: Confidence
    events: tuple[StampedEvent, ...]


class InForce(msgspec.Struct, frozen=True):
    """The configuration version last in force on a process."""

    node: NodeId
    version: int


def explain(question: Question, gathered: MergedTimeline) -> Answer:
    """Answer a question from the merged time line."""
    events = gathered.events
    match question:
        case FlowQuestion():
            matches = _flow_events(question, events)
        case RequestQuestion(request=request):
            matches = _matching(
                events, lambda item: item.event.request == request
            )
        case ServerQuestion(server=server):
            matches = _server_events(server, events)
        case VersionQuestion():
            return _version_answer(gathered)
    if not matches:
        return Answer(_no_events(question), Confidence.NO_EVENTS, ())
    last = matches[-1]
    sentence = f"{last.event.text} (reported by {last.node})"
    if last.event.reason:
        sentence += f", reason {last.event.reason}"
    return Answer(sentence, _confidence(gathered), matches)


def in_force(events: Iterable[StampedEvent]) -> tuple[InForce, ...]:
    """Return the latest configuration version that each process recorded."""
    latest: dict[NodeId, int] = {}
    for item in events:
        event = item.event
        if event.topic is Topic.CONFIGURATION and event.version:
            latest[item.node] = event.version
    return tuple(InForce(n, v) for n, v in sorted(latest.items()))


def flow_names(caller: str, address: str) -> frozenset[str]:
    """Return the forms in which events identify a flow."""
    key = flow_key(caller, address)
    return frozenset({f"{caller}>{address}", str(key), f"{key:016x}"})


def _flow_events(
    question: FlowQuestion, events: Sequence[StampedEvent]
) -> tuple[StampedEvent, ...]:
    """Return the events of a flow, preceded by routing changes.

    There are too many flows to record every event of each, so the latest
    routing changes of the flow's services are included. The result is
    empty if no event of the flow was recorded.
    """
    names = flow_names(question.caller, question.address)
    flow_events = _matching(events, lambda item: item.event.flow in names)
    services = {item.event.service for item in flow_events}
    routing = _matching(
        events,
        lambda item: (
            item.event.topic in _ROUTING_TOPICS
            and not item.event.flow
            and item.event.service in services
            and item.stamp <= flow_events[-1].stamp
        ),
    )
    return routing[-MAX_ROUTING_EVENTS:] + flow_events if flow_events else ()


def _server_events(
    server: str, events: Sequence[StampedEvent]
) -> tuple[StampedEvent, ...]:
    return _matching(
        events,
        lambda item: (
            item.event.topic in _SERVER_TOPICS and involves(item, server)
        ),
    )


def _version_answer(gathered: MergedTimeline) -> Answer:
    """Report the newest version in force and the processes behind it."""
    matches = in_force(gathered.events)
    if not matches:
        return Answer(_no_events(VersionQuestion()), Confidence.NO_EVENTS, ())
    newest = max(entry.version for entry in matches)
    behind = [entry for entry in matches if entry.version < newest]
    sentence = f"version {newest} is in force on {len(matches) - len(behind)}"
    sentence += f" of {len(matches)} processes"
    for entry in behind:
        sentence += f"; {entry.node} still has {entry.version}"
    return Answer(sentence, _confidence(gathered), _latest_versions(gathered))


def _latest_versions(gathered: MergedTimeline) -> tuple[StampedEvent, ...]:
    latest = {
        item.node: item
        for item in gathered.events
        if item.event.topic is Topic.CONFIGURATION and item.event.version
    }
    return tuple(latest.values())


def _matching(
    events: Iterable[StampedEvent], wanted: Callable[[StampedEvent], bool]
) -> tuple[StampedEvent, ...]:
    return tuple(item for item in events if wanted(item))


def _confidence(gathered: MergedTimeline) -> Confidence:
    return Confidence.PARTIAL if gathered.silent else Confidence.FOUND


def _no_events(question: Question) -> str:
    match question:
        case FlowQuestion(caller=caller, address=address):
            return f"no event about the flow from {caller} to {address}"
        case RequestQuestion(request=request):
            return f"no event about the request {request}"
        case ServerQuestion(server=server):
            return f"no event about the server {server}"
        case VersionQuestion():
            return "no process reported a configuration in force"
