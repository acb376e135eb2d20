import pytest

from medlar_core.flows.announce import Announcer
from medlar_core.flows.limits import BURST_BYTES
from medlar_core.flows.limits import BYTES_PER_S
from medlar_core.flows.limits import RETRANSMIT_S
from medlar_core.flows.messages import Located
from medlar_core.ids import FlowKey
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_fakes.net import wire_bytes

OWNERS = [NodeId(f"10.2.0.{i}:9000") for i in range(6)]
BALANCERS = tuple(NodeId(f"10.1.0.{i}:9000") for i in range(3))
NAME = ServiceName("one")


def make_announcer(flows: int) -> Announcer:
    announcer = Announcer(NodeId("10.2.1.1:9000"), Incarnation(1))
    for number in range(flows):
        key = FlowKey((number * 0x9E3779B97F4A7C15) & (2**64 - 1))
        announcer.announce(OWNERS[number % len(OWNERS)], key)
        announcer.add_hint(NAME, key)
    return announcer


@pytest.mark.parametrize("flows, limit_s", [(200, 1.0), (1500, 15.0)])
def test_displaced_flows_are_announced_within_the_byte_rate(
    flows: int, limit_s: float
) -> None:
    announcer = make_announcer(flows)
    now, sent = 0.0, 0
    while not announcer.idle:
        now += 0.1
        for send in announcer.due(Seconds(now), set(OWNERS), BALANCERS):
            sent += wire_bytes(send.msg)
            announcer.acked(send.msg.batch, Incarnation(1))
        assert sent <= BURST_BYTES + BYTES_PER_S * now + 1200
    assert now <= limit_s


def test_lost_batch_is_retransmitted_until_acknowledged() -> None:
    announcer = make_announcer(1)
    first = announcer.due(Seconds(1.0), set(OWNERS), ())
    assert announcer.due(Seconds(1.1), set(OWNERS), ()) == []
    retransmitted = announcer.due(Seconds(1.0 + RETRANSMIT_S), set(OWNERS), ())
    assert retransmitted == first
    assert isinstance(first[0].msg, Located)
    announcer.acked(first[0].msg.batch, Incarnation(2))
    assert (
        announcer.due(Seconds(1.0 + 2 * RETRANSMIT_S), set(OWNERS), ())
        == first
    )


def test_announcements_to_a_departed_owner_are_dropped() -> None:
    announcer = make_announcer(6)
    announcer.due(Seconds(1.0), set(OWNERS[:1]), ())
    sends = announcer.due(Seconds(1.0 + RETRANSMIT_S), set(OWNERS), ())
    assert {send.dst for send in sends} <= {OWNERS[0]}


def test_flow_that_ends_before_its_announcement_sends_nothing() -> None:
    announcer = make_announcer(0)
    announcer.announce(OWNERS[0], FlowKey(1))
    announcer.announce_end(OWNERS[0], FlowKey(1))
    assert announcer.due(Seconds(1.0), set(OWNERS), ()) == []
