"""Verdicts: whether a request ran, did not run, or may have run."""

import enum
from typing import TypeAlias

import msgspec


class Reason(enum.Enum):
    """Why a request did not or may not have run, or a packet was dropped."""

    UNKNOWN_ADDRESS = "unknown-address"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_KIND = "unknown-kind"
    NO_SERVER = "no-server"
    NO_FLOW = "no-flow"
    HOP_LIMIT = "hop-limit"
    OVER_SHARE = "over-share"
    QUEUE_FULL = "queue-full"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    CONNECTION_LIMIT = "connection-limit"
    HALF_OPEN_LIMIT = "half-open-limit"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection-lost"
    DUPLICATE = "duplicate"
    WRONG_HOME = "wrong-home"
    FENCED = "fenced"
    KEY_IN_DOUBT = "key-in-doubt"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    BODY_INCOMPLETE = "body-incomplete"
    SERVER_DIED = "server-died"
    SHED = "shed"
    RETRY_BUDGET = "retry-budget"


class Ran(msgspec.Struct, frozen=True, tag="ran"):
    """The request ran; status, digest and size of its complete response."""

    status: int
    body_digest: str
    body_size: int


class NotRun(msgspec.Struct, frozen=True, tag="not-run"):
    """The request did not run and never will under this attempt."""

    reason: Reason
    retry_after_s: float = 0.0


class MayHaveRun(msgspec.Struct, frozen=True, tag="may-have-run"):
    """It is unknown whether the request ran."""

    reason: Reason


Verdict: TypeAlias = Ran | NotRun | MayHaveRun
