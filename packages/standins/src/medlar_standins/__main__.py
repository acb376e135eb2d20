"""Command line of the stand-ins."""

import asyncio
import pathlib
import sys

import defopt
import msgspec

from medlar_core.config.model import Configuration
from medlar_core.ids import NodeId

from . import fabric as fabric_module
from . import load as load_module
from . import server as server_module
from . import store as store_module

USAGE_ERROR = 2


class BadInput(ValueError):
    """Invalid flag or file; the message says what is expected."""


def store(*, host: str = "127.0.0.1", port: int = 7000) -> None:
    """Serve the platform's key-value service.

    :param host: IP number to listen on.
    :param port: port to listen on.
    """
    asyncio.run(store_module.serve(host, port))


def fabric(
    *,
    config: str,
    balancers: str,
    host: str = "127.0.0.1",
    port: int = 7001,
    seed: int = 1,
) -> None:
    """Forward packets and connections of callers to random balancers.

    :param config: file with the configuration, for the addresses.
    :param balancers: ip:port/request-port of each, with commas.
    :param host: IP number that balancers and agents return packets to.
    :param port: port of the same.
    :param seed: seed of the choice.
    """
    cfg = read_config(config)
    entries = tuple(_parse_entry(part) for part in balancers.split(","))
    asyncio.run(fabric_module.serve(cfg, entries, host, port, seed))


def server(
    *,
    host: str = "127.0.0.1",
    port: int = 9000,
    slots: int = 2,
    kinds: str = "",
    seed: int = 1,
) -> None:
    """Serve as a backend server.

    :param host: IP number to listen on, for HTTP and for feeds.
    :param port: port of both.
    :param slots: requests that run at once.
    :param kinds: name=seconds of each kind's mean service time.
    :param seed: seed of the service times.
    """
    means = _parse_numbers("--kinds", kinds)
    asyncio.run(server_module.serve(host, port, slots, means, seed))


def load(
    *,
    config: str,
    service: str,
    rates: str = "",
    feeds: int = 0,
    seconds: float = 10.0,
    body_bytes: int = 200,
    seed: int = 1,
    json: bool = False,
) -> None:
    """Call a service and report how it went, with percentiles.

    :param config: file with the configuration, for the addresses.
    :param service: service to call.
    :param rates: kind=requests a second, with commas.
    :param feeds: feeds to keep open.
    :param seconds: how long to call.
    :param body_bytes: size of each request's body.
    :param seed: seed of arrivals and bodies.
    :param json: print JSON in place of a table.
    """
    plan = load_module.LoadPlan(
        service,
        _parse_numbers("--rates", rates),
        feeds,
        seconds,
        body_bytes,
        seed,
    )
    found = asyncio.run(load_module.run(read_config(config), plan))
    if json:
        print(msgspec.json.encode(found).decode())
    else:
        print(load_module.table(found))


def read_config(path: str) -> Configuration:
    """Return the configuration in a file.

    :raises BadInput: if the file can't be read or decoded.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        return msgspec.json.decode(data, type=Configuration)
    except (OSError, msgspec.DecodeError) as exc:
        raise BadInput(f"--config: {path}: {exc}") from None


def _parse_entry(text: str) -> fabric_module.Entry:
    node, _, port = text.strip().partition("/")
    if not port.isdigit() or ":" not in node:
        raise BadInput(
            f"--balancers: got {text!r}, expected ip:port/request-port"
        )
    return fabric_module.Entry(NodeId(node), int(port))


def _parse_numbers(flag: str, text: str) -> dict[str, float]:
    """Return the numbers in ``name=number,...``."""
    numbers: dict[str, float] = {}
    for part in filter(None, text.split(",")):
        name, _, number = part.partition("=")
        try:
            numbers[name.strip()] = float(number)
        except ValueError:
            raise BadInput(
                f"{flag}: got {part!r}, expected name=number"
            ) from None
    return numbers


def main() -> None:
    """Run the selected stand-in."""
    try:
        defopt.run([store, fabric, server, load])
    except (BadInput, load_module.LoadError) as exc:
        print(f"medlar_standins: {exc}", file=sys.stderr)
        sys.exit(USAGE_ERROR)
    except OSError as exc:
        print(f"medlar_standins: {exc.strerror or exc}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
