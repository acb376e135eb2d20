"""Events and effects of requests at balancer and agent.

A *request* is one call by a caller. The balancer makes *attempts* at it,
each on one server through that server's agent. The agent starts *work* on
its server; work has the id of the attempt that started it, and other
attempts with the same idempotency key share its answer. Bodies and
answers are streamed by the adapter and are not part of events.
"""

import msgspec

from ..ids import AttemptId
from ..ids import IdempotencyKey
from ..ids import Incarnation
from ..ids import KindName
from ..ids import NodeId
from ..ids import RequestId
from ..ids import ServiceName
from ..verdict import Verdict


class ServerLoad(msgspec.Struct, frozen=True):
    """Load of a server, sent with each answer of its agent.

    ``busy`` counts slots in use and ``queued`` attempts that wait, of
    which ``by_rank`` has the number at each rank. ``wait_s`` is the
    time until a slot is likely to be free, in seconds.
    """

    busy: int
    queued: int
    slots: int
    wait_s: float = 0.0
    by_rank: tuple[int, ...] = ()


class Go(msgspec.Struct, frozen=True):
    """Redirect of an attempt for a key to another process.

    ``ceded`` means that the redirecting agent has ceded the key to that
    process for good, so it may start the key without asking others.
    """

    node: NodeId
    incarnation: Incarnation
    ceded: bool = False


class RequestCame(msgspec.Struct, frozen=True):
    """A balancer received a caller's request; its body is unread.

    ``deadline_s`` is the time left in seconds and ``caller`` the caller's
    IP number. ``repeat`` is what the caller states of its key: True if it
    sent it before, False if not, None if unknown.
    """

    req: RequestId
    service: ServiceName
    kind: KindName
    key: IdempotencyKey | None
    deadline_s: float
    body_bytes: int
    caller: str
    repeat: bool | None = None


class RequestCancelled(msgspec.Struct, frozen=True):
    """The caller of a request disconnected."""

    req: RequestId


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt ended, as reported by its agent or by the adapter.

    The adapter reports ``NotRun(UNREACHABLE)`` only if no byte of the
    attempt was sent, else ``MayHaveRun(CONNECTION_LOST)``. ``load`` and
    ``go`` come from the agent and are None if the adapter reports.
    """

    attempt: AttemptId
    verdict: Verdict
    load: ServerLoad | None = None
    go: Go | None = None


class StartAttempt(msgspec.Struct, frozen=True):
    """Send an attempt to an agent; give up after ``deadline_s`` seconds.

    The adapter sends the headers, and the body once the agent asks for
    it. ``incarnation`` is the agent's in this balancer's view.
    ``ceded_by`` names the agent that ceded the key to ``dst``, and
    ``spare`` a process to which ``dst`` may cede it if it is busy.
    """

    attempt: AttemptId
    req: RequestId
    dst: NodeId
    incarnation: Incarnation
    service: ServiceName
    kind: KindName
    key: IdempotencyKey | None
    deadline_s: float
    body_bytes: int = 0
    repeat: bool | None = None
    ceded_by: NodeId | None = None
    spare: Go | None = None
    hops: int = 0


class CancelAttempt(msgspec.Struct, frozen=True):
    """Notify an agent that an attempt is no longer waited for."""

    attempt: AttemptId
    dst: NodeId


class AnswerCaller(msgspec.Struct, frozen=True):
    """Send the verdict of a request to its caller.

    On ``Ran`` the adapter streams the answer of ``attempt`` and checks
    its size and digest.
    """

    req: RequestId
    verdict: Verdict
    attempt: AttemptId | None = None


class AttemptCame(msgspec.Struct, frozen=True):
    """An agent received an attempt; its body is unread.

    Fields are those of ``StartAttempt``; ``src`` is the balancer and
    ``incarnation`` the one that the balancer expects here.
    """

    attempt: AttemptId
    req: RequestId
    src: NodeId
    incarnation: Incarnation
    service: ServiceName
    kind: KindName
    key: IdempotencyKey | None
    deadline_s: float
    body_bytes: int = 0
    repeat: bool | None = None
    ceded_by: NodeId | None = None
    spare: Go | None = None
    hops: int = 0


class AttemptCancelled(msgspec.Struct, frozen=True):
    """A balancer cancelled an attempt or its connection closed."""

    attempt: AttemptId


class WorkEnded(msgspec.Struct, frozen=True):
    """Work on the server ended.

    ``Ran`` means that the adapter holds the complete answer;
    ``NotRun`` that the server refused it or never got the complete body;
    ``MayHaveRun`` that the server died or cut its answer short.
    """

    work: AttemptId
    verdict: Verdict


class StartWork(msgspec.Struct, frozen=True):
    """Read the body of an attempt and start its work on the server."""

    work: AttemptId
    service: ServiceName
    kind: KindName
    key: IdempotencyKey | None
    deadline_s: float


class CancelWork(msgspec.Struct, frozen=True):
    """Cancel work on the server; no ``WorkEnded`` need follow."""

    work: AttemptId


class AnswerAttempt(msgspec.Struct, frozen=True):
    """Send the answer of an attempt to its balancer.

    On ``Ran`` the adapter streams the held answer of ``work``.
    """

    attempt: AttemptId
    dst: NodeId
    verdict: Verdict
    load: ServerLoad
    work: AttemptId | None = None
    go: Go | None = None


class DropAnswer(msgspec.Struct, frozen=True):
    """Drop the held answer of work; its key has expired."""

    work: AttemptId
