from medlar_core.flows.held import FlowTable
from medlar_core.flows.held import Held
from medlar_core.flows.limits import CLOSING_S
from medlar_core.flows.limits import HALF_OPEN_LIMIT
from medlar_core.flows.limits import HALF_OPEN_S
from medlar_core.flows.limits import IDLE_S
from medlar_core.ids import FlowKey
from medlar_core.ids import Seconds
from medlar_core.packets import Flag

NOW = Seconds(100.0)


def opened(table: FlowTable, number: int, proved: bool = True) -> Held:
    held = Held(f"c{number}", "a", 0)
    table.open(NOW, FlowKey(number), held)
    if proved:
        table.prove(FlowKey(number))
    return held


def test_flood_evicts_unproved_flows_only() -> None:
    table = FlowTable()
    opened(table, 0)
    for number in range(1, HALF_OPEN_LIMIT + 10):
        opened(table, number, proved=False)
    assert len(table.half_open) == HALF_OPEN_LIMIT
    assert table.get(FlowKey(0), "c0", "a")


def test_other_caller_with_the_same_key_is_another_flow() -> None:
    table = FlowTable()
    opened(table, 1)
    assert table.get(FlowKey(1), "other", "a") is None
    assert table.taken(FlowKey(1))


def test_flow_closed_by_both_ends_counts_no_more() -> None:
    table = FlowTable()
    held = opened(table, 1)
    fin = int(Flag.FIN)
    assert not table.note(NOW, FlowKey(1), held, fin, inward=True)
    assert table.note(NOW, FlowKey(1), held, fin, inward=False)
    assert not table.established
    assert table.get(FlowKey(1), "c1", "a")
    table.expire(Seconds(NOW + CLOSING_S))
    assert not table.get(FlowKey(1), "c1", "a")


def test_idle_flow_is_forgotten_and_told() -> None:
    table = FlowTable()
    opened(table, 1)
    later = Seconds(NOW + IDLE_S + 1.0)
    assert [key for key, _ in table.expire(later)] == [1]
    assert not table.established


def test_unproved_flow_is_forgotten() -> None:
    table = FlowTable()
    opened(table, 1, proved=False)
    table.expire(Seconds(NOW + HALF_OPEN_S + 1.0))
    assert not table.half_open
