"""Relay processes on loopback, run against stand-ins of the platform."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys

import pytest

from medlar_core.relay.segment import endpoint
from medlar_node.relay.http import HttpClient
from medlar_node.relay.http import Request
from medlar_node.relay.http import serving
from medlar_platform.header import HeaderCodec

from . import standin
from .standin import ACK
from .standin import packet
from .standin import ServerStandin
from .standin import StoreStandin
from .standin import SYN

BALANCER, AGENT, CALLER = "127.0.0.2", "127.0.0.3", "127.0.0.4"
SRC = endpoint(CALLER, 40_001)
DST = endpoint("198.18.0.1", 443)
CONFIGURATION = json.dumps(
    {
        "version": 3,
        "routes": [
            {"host": "198.18.0.1", "prefix": "/443/", "service": "desk"}
        ],
        "services": [],
        "limits": {"idle_timeout_ms": 15_000},
    }
)


class Ports:
    """Free ports, the same on all addresses."""

    def __init__(self) -> None:
        with contextlib.ExitStack() as stack:
            socks = [stack.enter_context(socket.socket()) for _ in range(8)]
            for sock in socks:
                sock.bind(("127.0.0.1", 0))
            numbers = [sock.getsockname()[1] for sock in socks]
        (
            self.store,
            self.peers,
            self.packets,
            self.ready,
            self.control,
            self.outbound,
            self.app,
            self.metrics,
        ) = numbers


def settings(ports: Ports, ip: str, serves: str) -> str:
    app = f"{AGENT}:{ports.app}"
    store = f"127.0.0.1:{ports.store}"
    return standin.settings(
        f"{serves}-1", ip, serves, "desk", app, store, ports, 1_000
    )


@contextlib.asynccontextmanager
async def running(path: str, ports: Ports, ip: str):
    """Run a relay process; kill it at exit if it still runs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "medlar_platform",
        stdout=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            "MEDLARSTAGE_SETTINGS": path,
            "MEDLARSTAGE_METRICS": f"{ip}:{ports.metrics}",
        },
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.communicate()


async def get(address: str, path: str):
    client = HttpClient(address)
    try:
        return await client.call(Request("GET", path), 2.0)
    finally:
        client.close()


async def wait_until(check, limit_s: float = 15.0) -> None:
    """Poll until ``check`` returns true."""
    async with asyncio.timeout(limit_s):
        while not await check():
            await asyncio.sleep(0.05)


async def is_ready(address: str) -> bool:
    try:
        return (await get(address, "/-/readiness")).status == 200
    except Exception:  # not listening yet
        return False


def test_invalid_settings_end_process_and_are_logged(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("zone = 5")

    async def run():
        async with running(str(path), Ports(), BALANCER) as process:
            out, _ = await process.communicate()
            return process.returncode, out

    code, out = asyncio.run(run())
    assert code == 2
    line = json.loads(out.splitlines()[-1])
    assert "invalid settings, exiting" in line["message"]
    assert "node.toml" in line["why"]


def test_flow_is_relayed_to_server_and_back(tmp_path):
    ports = Ports()
    asyncio.run(_relay_flow(ports, write_settings(tmp_path, ports)))


def test_stopped_agent_relays_flows_of_its_draining_server(tmp_path):
    ports = Ports()
    paths = write_settings(tmp_path, ports)
    asyncio.run(_stop_agent_before_its_server(ports, paths))


def write_settings(tmp_path, ports: Ports) -> dict[str, str]:
    """Write the settings of a balancer and an agent; return the paths."""
    paths = {}
    for ip, serves in ((BALANCER, "frontend"), (AGENT, "side")):
        paths[ip] = str(tmp_path / f"{serves}.toml")
        with open(paths[ip], "w") as file:
            file.write(settings(ports, ip, serves))
    return paths


@contextlib.asynccontextmanager
async def relaying(ports: Ports, paths: dict[str, str]):
    """Run both processes and stand-ins; yield them and a caller's socket."""
    store = StoreStandin()
    store.put("op/config", CONFIGURATION)
    server = ServerStandin(f"{AGENT}:{ports.app}", (AGENT, ports.outbound))
    asyncio.get_running_loop().add_reader(server.sock, server.read)
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    caller.setblocking(False)
    caller.bind((CALLER, ports.packets))
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        stack.callback(caller.close)
        stack.callback(server.sock.close)
        await enter(serving(f"127.0.0.1:{ports.store}", store.answer))
        balancer = await enter(running(paths[BALANCER], ports, BALANCER))
        agent = await enter(running(paths[AGENT], ports, AGENT))
        await wait_until(lambda: _announce_server(ports))
        await wait_until(lambda: is_ready(f"{BALANCER}:{ports.ready}"))
        yield balancer, agent, caller


async def _relay_flow(ports: Ports, paths: dict[str, str]) -> None:
    async with relaying(ports, paths) as (balancer, agent, caller):
        await _assert_flow_is_relayed(caller, ports)
        text = (await get(f"{AGENT}:{ports.metrics}", "/metrics")).body
        assert b"medlarstage_relay_flows_open 1.0" in text
        balancer.send_signal(signal.SIGTERM)
        agent.send_signal(signal.SIGTERM)
        assert not await is_ready(f"{BALANCER}:{ports.ready}")
        out, _ = await balancer.communicate()
        await agent.communicate()
        assert (balancer.returncode, agent.returncode) == (0, 0)
        messages = [json.loads(line)["message"] for line in out.splitlines()]
        assert messages[0] == "balancer: started"
        assert messages[-1] == "balancer: stopped"


async def _stop_agent_before_its_server(
    ports: Ports, paths: dict[str, str]
) -> None:
    async with relaying(ports, paths) as (_, agent, caller):
        await _assert_flow_is_relayed(caller, ports)
        assert await _announce_server(ports, "draining", 2)
        agent.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.5)
        await _assert_data_is_answered(caller, ports)
        assert await _announce_server(ports, "draining", 3, "Leave")
        await asyncio.wait_for(agent.communicate(), 3.0)
        assert agent.returncode == 0


async def _announce_server(
    ports: Ports, state: str = "ready", sequence: int = 1, call="Heartbeat"
) -> bool:
    heartbeat = {
        "service": "desk",
        "state": state,
        "slots": 2,
        "sequence": sequence,
        "born": 1_700_000_000_000,
    }
    client = HttpClient(f"{AGENT}:{ports.control}")
    path = f"/-/Instances.{call}/i-1"
    try:
        body = json.dumps(heartbeat).encode()
        res = await client.call(Request("POST", path, body), 2.0)
        return res.status == 200
    except Exception:  # not listening yet
        return False
    finally:
        client.close()


async def _assert_flow_is_relayed(caller: socket.socket, ports: Ports) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(10.0):
        caller.sendto(packet(SRC, DST, SYN), (BALANCER, ports.packets))
        answer = HeaderCodec().decode(await loop.sock_recv(caller, 2_048))
    assert answer.outward == (SRC, DST)
    await _assert_data_is_answered(caller, ports)


async def _assert_data_is_answered(
    caller: socket.socket, ports: Ports
) -> None:
    loop = asyncio.get_running_loop()
    question = packet(SRC, DST, ACK, b"question")
    async with asyncio.timeout(10.0):
        caller.sendto(question, (BALANCER, ports.packets))
        data = await loop.sock_recv(caller, 2_048)
    assert data.endswith(b"answer")


def test_sighup_reloads_settings(tmp_path):
    ports = Ports()
    path = tmp_path / "node.toml"
    path.write_text(settings(ports, BALANCER, "frontend"))

    async def run():
        async with running(str(path), ports, BALANCER) as process:
            await process.stdout.readline()
            text = path.read_text()
            path.write_text('seeds = ["127.0.0.9:1"]\n' + text)
            process.send_signal(signal.SIGHUP)
            while True:
                line = json.loads(await process.stdout.readline())
                if "reloaded" in line["message"]:
                    return line

    line = asyncio.run(asyncio.wait_for(run(), 20.0))
    assert (line["cause"], line["changed"]) == ("signal", ["seeds"])


def test_sighup_during_startup_does_not_end_process(tmp_path):
    ports = Ports()
    path = tmp_path / "node.toml"
    path.write_text(settings(ports, BALANCER, "frontend"))

    async def run():
        async with running(str(path), ports, BALANCER) as process:
            await process.stdout.readline()
            for _ in range(20):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.001)
            process.send_signal(signal.SIGTERM)
            await process.communicate()
            return process.returncode

    assert asyncio.run(asyncio.wait_for(run(), 20.0)) == 0


@pytest.mark.parametrize("ip", [BALANCER])
def test_port_in_use_ends_process(tmp_path, ip):
    ports = Ports()
    path = tmp_path / "node.toml"
    path.write_text(settings(ports, ip, "frontend"))

    async def run():
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupied:
            occupied.bind((ip, ports.packets))
            async with running(str(path), ports, ip) as process:
                out, _ = await process.communicate()
                return process.returncode, out

    code, out = asyncio.run(asyncio.wait_for(run(), 20.0))
    assert code == 1
    assert b"cannot listen" in out
