"""Encoding of attempts between balancer and agent in HTTP headers.

The balancer sends ``Expect: 100-continue``; the agent sends the interim
response only when the work may start, so that the body of a refused
attempt is never sent.
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
    """Description of an attempt by the balancer, as JSON in one header."""

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
    """Result of an attempt from the agent, as JSON in one header."""

    verdict: Verdict
    load: ServerLoad
    go: Go | None = None


def encode_request(request: AttemptRequest) -> str:
    """Return the header value that describes an attempt."""
    return msgspec.json.encode(request).decode()


def parse_request(text: str) -> AttemptRequest:
    """Return the attempt described by a header value.

    :raises msgspec.DecodeError: if the header is malformed.
    """
    return msgspec.json.decode(text, type=AttemptRequest)


def encode_result(result: AttemptResult) -> str:
    """Return the header value with the result of an attempt."""
    return msgspec.json.encode(result).decode()


def parse_result(text: str) -> AttemptResult:
    """Return the result of an attempt from a header value.

    :raises msgspec.DecodeError: if the header is malformed.
    """
    return msgspec.json.decode(text, type=AttemptResult)
