from medlar_core.flows.held import FlowTable
from medlar_core.flows.held import HeldFlow
from medlar_core.flows.limits import CLOSING_LIFETIME_S
from medlar_core.flows.limits import HALF_OPEN_LIMIT
from medlar_core.flows.limits import HALF_OPEN_TIMEOUT_S
from medlar_core.flows.limits import IDLE_TIMEOUT_S
from medlar_core.ids import FlowKey
from medlar_core.ids import Seconds
from medlar_core.packets import Flag

NOW = Seconds(100.0)


def add_flow(
    table: FlowTable, number: int, established: bool = True
) -> HeldFlow:
    held = HeldFlow(f"c{number}", "a", 0)
    table.open(NOW, FlowKey(number), held)
    if established:
        table.establish(FlowKey(number))
    return held


def test_flood_evicts_half_open_flows_only() -> None:
    table = FlowTable()
    add_flow(table, 0)
    for number in range(1, HALF_OPEN_LIMIT + 10):
        add_flow(table, number, established=False)
    assert len(table.half_open) == HALF_OPEN_LIMIT
    assert table.get(FlowKey(0), "c0", "a")


def test_other_caller_with_the_same_key_is_another_flow() -> None:
    table = FlowTable()
    add_flow(table, 1)
    assert table.get(FlowKey(1), "other", "a") is None
    assert table.is_open(FlowKey(1))


def test_flow_closed_by_both_ends_is_not_established() -> None:
    table = FlowTable()
    held = add_flow(table, 1)
    fin = int(Flag.FIN)
    assert not table.record_packet(NOW, FlowKey(1), held, fin, inward=True)
    assert table.record_packet(NOW, FlowKey(1), held, fin, inward=False)
    assert not table.established
    assert table.get(FlowKey(1), "c1", "a")
    table.expire(Seconds(NOW + CLOSING_LIFETIME_S))
    assert not table.get(FlowKey(1), "c1", "a")


def test_idle_flow_expires_and_is_returned() -> None:
    table = FlowTable()
    add_flow(table, 1)
    later = Seconds(NOW + IDLE_TIMEOUT_S + 1.0)
    assert [key for key, _ in table.expire(later)] == [1]
    assert not table.established


def test_half_open_flow_expires() -> None:
    table = FlowTable()
    add_flow(table, 1, established=False)
    table.expire(Seconds(NOW + HALF_OPEN_TIMEOUT_S + 1.0))
    assert not table.half_open
