import msgspec
import pytest

from medlar_core.verdict import MayHaveRun
from medlar_core.verdict import NotRun
from medlar_core.verdict import Reason
from medlar_node import headers as names


@pytest.mark.parametrize(
    ("verdict", "status", "expected"),
    [
        (NotRun(Reason.OVER_SHARE, 1.0), 429, "not-run; reason=over-share"),
        (NotRun(Reason.UNKNOWN_ADDRESS), 404, "not-run; reason=unknown-addr"),
        (NotRun(Reason.TOO_LARGE), 413, "not-run; reason=too-large"),
        (NotRun(Reason.NO_SERVER), 503, "not-run; reason=no-server"),
        (MayHaveRun(Reason.DEADLINE), 504, "may-have-run; reason=deadline"),
        (MayHaveRun(Reason.SERVER_DIED), 502, "may-have-run; reason=server"),
    ],
)
def test_refusal_response_has_verdict_and_reason(
    verdict: NotRun | MayHaveRun, status: int, expected: str
) -> None:
    response = names.refusal_response(verdict)
    assert response.status == status
    assert response.headers[names.VERDICT].startswith(expected)
    body = msgspec.json.decode(bytes(response.body), type=names.Refusal)
    assert body.reason == verdict.reason.value


def test_end_to_end_drops_own_and_hop_by_hop_headers() -> None:
    given = {
        "Content-Type": "text/plain",
        "Connection": "close",
        names.ATTEMPT: "x",
        "X-Mine": "1",
    }
    kept = names.end_to_end(given)
    assert kept == {"Content-Type": "text/plain", "X-Mine": "1"}
