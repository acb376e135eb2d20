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
    """Run a balancer: it hands packets and requests to agents.

    Each flag may be given as a variable MEDLARSTAGE_<FLAG> instead.

    :param listen: ip:port of control and packets, TCP and UDP.
    :param place: the availability zone that this instance is in.
    :param store: ip:port of the platform's key-value service.
    :param fabric: ip:port that takes packets for callers.
    :param seeds: ip:port of processes to ask first, with commas.
    :param keys: hexadecimal keys, the current one first, with a comma.
    :param key_file: file of such keys, read again on SIGHUP.
    :param requests: ip:port where the fabric hands in requests.
    :param log_level: debug, info, warning or error.
    :param stop_limit_s: seconds that a planned stop may take.
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
    """Run an agent: it stands beside one server and guards it.

    Each flag may be given as a variable MEDLARSTAGE_<FLAG> instead.

    :param listen: ip:port of control and packets, TCP and UDP.
    :param place: the availability zone that this instance is in.
    :param store: ip:port of the platform's key-value service.
    :param fabric: ip:port that takes packets for callers.
    :param seeds: ip:port of processes to ask first, with commas.
    :param keys: hexadecimal keys, the current one first, with a comma.
    :param key_file: file of such keys, read again on SIGHUP.
    :param service: the service that the server is part of.
    :param server: ip:port of the server beside this agent.
    :param weight: capacity beside other servers, 1 being usual.
    :param log_level: debug, info, warning or error.
    :param stop_limit_s: seconds that a planned stop may take.
    """
    cfg = agent_settings(Source(locals(), os.environ))
    configure(cfg.log_level, "agent", cfg.listen)
    asyncio.run(run_agent(cfg))


def main() -> None:
    """Run the command that the arguments name."""
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
