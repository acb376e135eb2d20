from medlar_core.config.watchers import is_watcher
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.members.view import Balancer
from medlar_core.members.view import View


def view_of(count: int) -> View:
    balancers = tuple(
        Balancer(
            NodeId(f"10.0.0.{i}:7000"),
            Incarnation(1),
            PlaceName(f"place-{i % 3}"),
        )
        for i in range(count)
    )
    return View(1, (), balancers)


def watchers(view: View) -> list[Balancer]:
    return [
        balancer
        for balancer in view.balancers
        if is_watcher(view, balancer.id)
    ]


def test_one_balancer_in_each_place_is_a_watcher() -> None:
    found = watchers(view_of(30))
    assert sorted(balancer.place for balancer in found) == [
        "place-0",
        "place-1",
        "place-2",
    ]


def test_removed_watcher_is_replaced_in_its_place_only() -> None:
    view = view_of(30)
    before = watchers(view)
    remaining = tuple(
        balancer for balancer in view.balancers if balancer != before[0]
    )
    after = watchers(View(2, (), remaining))
    assert len(after) == 3
    assert set(before[1:]) < set(after)


def test_agent_is_no_watcher() -> None:
    assert not is_watcher(view_of(3), NodeId("10.0.9.9:7000"))
