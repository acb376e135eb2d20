from medlar_bench.flows.world import address_of
from medlar_bench.flows.world import make_cfg
from medlar_bench.flows.world import make_service
from medlar_core.flows.services import Services
from medlar_core.ids import Version

ONE = make_service("one")
TWO = make_service("two")
MOVED = "192.0.2.99:443"


def test_older_configuration_changes_nothing() -> None:
    services = Services()
    assert services.apply_cfg(make_cfg(ONE), Version(2))
    assert not services.apply_cfg(make_cfg(TWO), Version(1))
    assert services.addresses == {address_of("one"): "one"}


def test_moved_address_keeps_its_former_service() -> None:
    services = Services()
    services.apply_cfg(make_cfg(make_service("one", MOVED)), Version(1))
    services.apply_cfg(make_cfg(make_service("two", MOVED)), Version(2))
    assert services.addresses[MOVED] == "two"
    assert services.former[MOVED] == ("one",)
    services.apply_cfg(make_cfg(make_service("one", MOVED)), Version(3))
    assert services.former[MOVED] == ("two",)


def test_withdrawn_address_is_recorded_until_it_returns() -> None:
    services = Services()
    services.apply_cfg(make_cfg(ONE), Version(1))
    services.apply_cfg(make_cfg(TWO), Version(2))
    assert services.withdrawn == {address_of("one")}
    services.apply_cfg(make_cfg(ONE, TWO), Version(3))
    assert not services.withdrawn
