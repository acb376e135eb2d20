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
    return [held for held in view.balancers if is_watcher(view, held.id)]


def test_one_balancer_watches_in_each_place() -> None:
    found = watchers(view_of(30))
    assert sorted(held.place for held in found) == [
        "place-0",
        "place-1",
        "place-2",
    ]


def test_when_a_watcher_goes_only_its_place_gets_another() -> None:
    view = view_of(30)
    first = watchers(view)
    left = tuple(held for held in view.balancers if held != first[0])
    then = watchers(View(2, (), left))
    assert len(then) == 3
    assert set(first[1:]) < set(then)


def test_an_agent_does_not_watch() -> None:
    assert not is_watcher(view_of(3), NodeId("10.0.9.9:7000"))
