"""Command line of medlarstaged."""

import asyncio
import os
import sys

import defopt

from .agent import run_agent
from .balancer import run_balancer
from .logs import configure
from .settings import agent_settings
from .settings import balancer_settings
from .settings import SettingError
from .settings import Source

USAGE_ERROR = 2


def balancer(
    *,
    listen: str = "",
    place: str = "",
    store: str = "",
    fabric: str = "",
    seeds: str = "",
    keys: str = "",
    key_file: str = "",
    requests: str = "",
    log_level: str = "",
    stop_limit_s: str = "",
) -> None:
    """Run a balancer, which forwards packets and requests to agents.

    Each flag can also be set as environment variable MEDLARSTAGE_<FLAG>.

    :param listen: ip:port for control messages and packets, TCP and UDP.
    :param place: the availability zone that this instance is in.
    :param store: ip:port of the platform's key-value service.
    :param fabric: ip:port that receives packets for callers.
    :param seeds: ip:port of members to contact first, comma-separated.
    :param keys: hexadecimal keys, comma-separated, the current one first.
    :param key_file: file of such keys, reloaded on SIGHUP.
    :param requests: ip:port to which the fabric sends requests.
    :param log_level: debug, info, warning or error.
    :param stop_limit_s: maximum duration of a planned stop in seconds.
    """
    cfg = balancer_settings(Source(locals(), os.environ))
    configure(cfg.log_level, "balancer", cfg.listen)
    asyncio.run(run_balancer(cfg))


def agent(
    *,
    listen: str = "",
    place: str = "",
    store: str = "",
    fabric: str = "",
    seeds: str = "",
    keys: str = "",
    key_file: str = "",
    service: str = "",
    server: str = "",
    weight: str = "",
    log_level: str = "",
    stop_limit_s: str = "",
) -> None:
    """Run an agent, which runs beside one server and holds its flows.

    Each flag can also be set as environment variable MEDLARSTAGE_<FLAG>.

    :param listen: ip:port for control messages and packets, TCP and UDP.
    :param place: the availability zone that this instance is in.
    :param store: ip:port of the platform's key-value service.
    :param fabric: ip:port that receives packets for callers.
    :param seeds: ip:port of members to contact first, comma-separated.
    :param keys: hexadecimal keys, comma-separated, the current one first.
    :param key_file: file of such keys, reloaded on SIGHUP.
    :param service: the service that the server is part of.
    :param server: ip:port of the local server of this agent.
    :param weight: capacity relative to other servers, usually 1.
    :param log_level: debug, info, warning or error.
    :param stop_limit_s: maximum duration of a planned stop in seconds.
    """
    cfg = agent_settings(Source(locals(), os.environ))
    configure(cfg.log_level, "agent", cfg.listen)
    asyncio.run(run_agent(cfg))


def main() -> None:
    """Run the command given on the command line."""
    try:
        defopt.run([balancer, agent])
    except SettingError as exc:
        print(f"medlarstaged: {exc}", file=sys.stderr)
        sys.exit(USAGE_ERROR)
    except OSError as exc:
        print(f"medlarstaged: {exc.strerror or exc}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
