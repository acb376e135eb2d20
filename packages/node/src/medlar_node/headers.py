"""HTTP headers of requests, attempts and verdicts."""

from collections.abc import Mapping

from aiohttp import web
import msgspec

from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran
from medlar_core.verdict import Reason
from medlar_core.verdict import Verdict

KIND = "Medlarstage-Kind"
KEY = "Idempotency-Key"
DEADLINE = "Medlarstage-Deadline"
RETRY = "Medlarstage-Repeat"
VERDICT = "Medlarstage-Verdict"
ATTEMPT = "Medlarstage-Attempt"
ENDED = "Medlarstage-Ended"
WORK = "X-Medlar-Work"

HOP_BY_HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Expect",
        "Content-Length",
        "Host",
        "Accept-Encoding",
        "Proxy-Authorization",
        "Proxy-Authenticate",
    )
)

_STATUS = {
    Reason.UNKNOWN_ADDRESS: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_KIND: 400,
    Reason.MALFORMED: 400,
    Reason.TOO_LARGE: 413,
    Reason.OVER_SHARE: 429,
}


class Refusal(msgspec.Struct, frozen=True):
    """Body of a response that does not come from the server."""

    verdict: str
    reason: str


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers without hop-by-hop and Medlarstage ones."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
        and not name.lower().startswith("medlarstage-")
    }


def verdict_name(verdict: Verdict) -> str:
    """Return the name of a verdict in headers and metrics."""
    match verdict:
        case Ran():
            return "ran"
        case NotRun():
            return "not-run"
        case MayHaveRun():
            return "may-have-run"


def refusal_response(verdict: NotRun | MayHaveRun) -> web.Response:
    """Return the HTTP response for a request without a server response."""
    name = verdict_name(verdict)
    headers = {VERDICT: f"{name}; reason={verdict.reason.value}"}
    if isinstance(verdict, NotRun) and verdict.retry_after_s > 0:
        headers["Retry-After"] = str(max(1, round(verdict.retry_after_s)))
    return web.Response(
        body=msgspec.json.encode(Refusal(name, verdict.reason.value)),
        status=_status(verdict),
        headers=headers,
        content_type="application/json",
    )


def _status(verdict: NotRun | MayHaveRun) -> int:
    if isinstance(verdict, MayHaveRun):
        return 504 if verdict.reason is Reason.DEADLINE else 502
    return _STATUS.get(verdict.reason, 503)
