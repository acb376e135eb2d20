"""Which flows of its server an agent knows after it has started."""

import pytest

from medlar_core.ids import Seconds
from medlar_core.relay.events import ServerAnnounced
from medlar_core.relay.events import ServerPhase
from medlar_core.relay.local_server import LocalServer
from medlar_core.relay.local_server import START_GAP_S

from .kit import DESK

HEARTBEAT_S = 1.0
UPTIME_S = 0.8


@pytest.mark.parametrize(
    ("age_s", "sequence", "expected"),
    [
        (UPTIME_S + 0.9 * START_GAP_S, 2, True),
        pytest.param(UPTIME_S, 6, True, id="repeated its first announcement"),
        (UPTIME_S + 1.1 * START_GAP_S, 2, False),
        (30.0, 2, False),
        (float("inf"), 2, False),
        pytest.param(0.5, 30, False, id="clock set back since it started"),
    ],
)
def test_all_flows_are_known_of_a_server_that_started_with_its_agent(
    age_s, sequence, expected
):
    local = LocalServer(HEARTBEAT_S, started_at=5.0)
    now = Seconds(5.0 + UPTIME_S)
    local.handle_announcement(
        now,
        ServerAnnounced(
            "s1", 1_000, sequence, DESK, ServerPhase.READY, 1, 0.0, age_s
        ),
    )
    assert local.knows_all_flows(now) is expected
