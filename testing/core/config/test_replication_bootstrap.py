import random

from medlar_core.config.messages import Have
from medlar_core.config.replication import BOOTSTRAP_BALANCERS
from medlar_core.config.replication import ConfigReplicator
from medlar_core.effects import Send
from medlar_core.events import Tick
from medlar_core.events import ViewChanged
from medlar_core.ids import Incarnation
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName
from medlar_core.ids import Seconds
from medlar_core.ids import ServiceName
from medlar_core.members.view import Balancer
from medlar_core.members.view import Server
from medlar_core.members.view import ServerState
from medlar_core.members.view import View

PLACE = PlaceName("a")
SERVERS = 200
BALANCERS = 4


def view() -> View:
    servers = tuple(
        Server(
            NodeId(f"10.2.0.{number}:7"),
            Incarnation(1),
            ServiceName("s"),
            PLACE,
            ServerState.READY,
        )
        for number in range(SERVERS)
    )
    balancers = tuple(
        Balancer(NodeId(f"10.1.0.{number}:7"), Incarnation(1), PLACE)
        for number in range(BALANCERS)
    )
    return View(1, servers, balancers)


def test_process_without_configuration_asks_balancers_too() -> None:
    """A random choice among 200 agents would miss that all balancers start."""
    node = NodeId("10.1.0.0:7")
    replicator = ConfigReplicator(node, (), random.Random(1))
    replicator.reduce(Seconds(0.0), ViewChanged(view()))
    sent = replicator.reduce(Seconds(0.1), Tick())
    asked = {
        effect.dst
        for effect in sent
        if isinstance(effect, Send) and isinstance(effect.msg, Have)
    }
    balancers = {balancer.id for balancer in view().balancers} - {node}
    assert len(asked & balancers) >= BOOTSTRAP_BALANCERS
    assert asked - balancers
    assert node not in asked
