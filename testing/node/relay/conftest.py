import pytest

from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_node.relay.settings import RelaySettings
from medlar_node.relay.settings import Role


@pytest.fixture
def cfg() -> RelaySettings:
    return RelaySettings(
        Role.BALANCER,
        "b",
        PlaceName("p"),
        NodeId("127.0.0.1:1"),
        "127.0.0.1:2",
        "127.0.0.1:3",
        (),
        5,
        1.0,
        6.0,
    )
