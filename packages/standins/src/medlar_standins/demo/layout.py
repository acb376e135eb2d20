"""Processes of the demo with their ports and command lines."""

import sys

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.model import Service
from medlar_core.ids import NodeId
from medlar_core.ids import PlaceName

HOST = "127.0.0.1"
STORE_PORT = 17000
FABRIC_PORT = 17001
BALANCER_PORT = 17100
REQUEST_PORT = 17200
AGENT_PORT = 17300
SERVER_PORT = 17500
SERVERS = {"berth-desk": 7, "manifest-office": 3}
BALANCERS = 3
STORE_NAME = "store"
SPARE = 9
"""Number of the balancer that replaces balancer 1."""

STORE = f"{HOST}:{STORE_PORT}"
FABRIC = f"{HOST}:{FABRIC_PORT}"


class Command(msgspec.Struct, frozen=True):
    """A process of the demo: its name and its arguments."""

    name: str
    args: tuple[str, ...]


class Pair(msgspec.Struct, frozen=True):
    """An agent and its local server."""

    agent: NodeId
    server: str
    service: str


def balancer_node(number: int) -> NodeId:
    """Return the address of a balancer."""
    return NodeId(f"{HOST}:{BALANCER_PORT + number}")


def balancer_name(number: int) -> str:
    """Return the name of a balancer's process."""
    return f"balancer-{number}"


def agent_name(number: int) -> str:
    """Return the name of an agent's process."""
    return f"agent-{number}"


def server_name(number: int) -> str:
    """Return the name of a server's process."""
    return f"server-{number}"


def balancer_numbers() -> tuple[int, ...]:
    """Return the numbers of all balancers, the replacement included."""
    return (*range(1, BALANCERS + 1), SPARE)


def pairs() -> tuple[Pair, ...]:
    """Return all agents with their servers."""
    names = [name for name, count in SERVERS.items() for _ in range(count)]
    return tuple(
        Pair(
            NodeId(f"{HOST}:{AGENT_PORT + number}"),
            f"{HOST}:{SERVER_PORT + number}",
            name,
        )
        for number, name in enumerate(names, 1)
    )


def nodes() -> tuple[NodeId, ...]:
    """Return the addresses of the initial balancers and all agents."""
    balancers = [balancer_node(i) for i in range(1, BALANCERS + 1)]
    return (*balancers, *(pair.agent for pair in pairs()))


def ports() -> tuple[int, ...]:
    """Return all ports that processes of the demo listen on, in order."""
    numbers = balancer_numbers()
    return (
        STORE_PORT,
        FABRIC_PORT,
        *(BALANCER_PORT + number for number in numbers),
        *(REQUEST_PORT + number for number in numbers),
        *(_port(pair.agent) for pair in pairs()),
        *(_port(pair.server) for pair in pairs()),
    )


def store_command() -> Command:
    """Return the command of the store."""
    return _standin(STORE_NAME, "store", "--port", str(STORE_PORT))


def fabric_command(config_path: str) -> Command:
    """Return the command of the fabric."""
    entries = ",".join(
        f"{balancer_node(i)}/{REQUEST_PORT + i}" for i in balancer_numbers()
    )
    return _standin(
        "fabric",
        "fabric",
        "--config",
        config_path,
        "--balancers",
        entries,
        "--port",
        str(FABRIC_PORT),
    )


def server_command(pair: Pair, service: Service) -> Command:
    """Return the command of a server."""
    kinds = ",".join(f"{kind.name}={kind.mean_s}" for kind in service.kinds)
    port = str(_port(pair.server))
    return _standin(
        server_name(_port(pair.server) - SERVER_PORT),
        "server",
        "--port",
        port,
        "--kinds",
        kinds,
        "--seed",
        port,
    )


def balancer_command(number: int, place: PlaceName) -> Command:
    """Return the command of a balancer."""
    return _daemon(
        balancer_name(number),
        "balancer",
        "--listen",
        balancer_node(number),
        "--place",
        place,
        "--requests",
        f"{HOST}:{REQUEST_PORT + number}",
    )


def agent_command(pair: Pair, place: PlaceName) -> Command:
    """Return the command of an agent."""
    return _daemon(
        agent_name(_port(pair.agent) - AGENT_PORT),
        "agent",
        "--listen",
        pair.agent,
        "--place",
        place,
        "--service",
        pair.service,
        "--server",
        pair.server,
    )


def place_of(cfg: Configuration, number: int) -> PlaceName:
    """Return the place of the process with a number."""
    return cfg.places[number % len(cfg.places)].name


def seeds() -> str:
    """Return the seed nodes that a new process contacts first."""
    return ",".join(balancer_node(i) for i in range(1, BALANCERS + 1))


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _standin(name: str, *args: str) -> Command:
    return Command(name, (sys.executable, "-m", "medlar_standins", *args))


def _daemon(name: str, *args: str) -> Command:
    return Command(name, (sys.executable, "-m", "medlar_node.cli", *args))
