"""Attempts between balancer and agent: headers of one HTTP request.

The balancer asks with ``Expect: 100-continue``; the agent lets the body
come only when the work may start, so refused bodies are never sent.
"""

import msgspec

from medlar_core.ids import AttemptId
from medlar_core.ids import IdempotencyKey
from medlar_core.ids import Incarnation
from medlar_core.ids import KindName
from medlar_core.ids import NodeId
from medlar_core.ids import RequestId
from medlar_core.ids import ServiceName
from medlar_core.requests.events import Go
from medlar_core.requests.events import ServerLoad
from medlar_core.verdict import Verdict

PATH = "/v1/attempt/"
METHOD = "Medlarstage-Method"
TARGET = "Medlarstage-Target"


class AttemptRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the balancer tells of an attempt, as JSON in one header."""

    attempt: AttemptId
    req: RequestId
    src: NodeId
    incarnation: Incarnation
    service: ServiceName
    kind: KindName
    deadline_s: float
    key: IdempotencyKey | None = None
    body_bytes: int = 0
    repeat: bool | None = None
    ceded_by: NodeId | None = None
    spare: Go | None = None
    hops: int = 0


class AttemptResult(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the agent tells of the end, as JSON in one header."""

    verdict: Verdict
    load: ServerLoad
    go: Go | None = None


def encode_request(request: AttemptRequest) -> str:
    """Return the header that tells an attempt."""
    return msgspec.json.encode(request).decode()


def parse_request(text: str) -> AttemptRequest:
    """Return the attempt in a header.

    :raises msgspec.DecodeError: if the header is malformed.
    """
    return msgspec.json.decode(text, type=AttemptRequest)


def encode_result(result: AttemptResult) -> str:
    """Return the header that tells the end of an attempt."""
    return msgspec.json.encode(result).decode()


def parse_result(text: str) -> AttemptResult:
    """Return the end of an attempt in a header.

    :raises msgspec.DecodeError: if the header is malformed.
    """
    return msgspec.json.decode(text, type=AttemptResult)
