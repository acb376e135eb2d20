import msgspec

from medlar_core.ids import IdempotencyKey
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.requests.events import Go
from medlar_core.requests.messages import Claim
from medlar_core.requests.messages import ClaimTold
from medlar_core.requests.messages import MESSAGES


def test_claim_told_round_trips_through_json() -> None:
    holder = Go(NodeId("10.0.0.1:1"), Incarnation(3))
    told = ClaimTold(
        IdempotencyKey("k"), Incarnation(2), Claim.CEDED, prior=(holder,)
    )
    data = msgspec.json.encode(told)
    assert msgspec.json.decode(data, type=MESSAGES[0] | MESSAGES[1]) == told
