"""Key rotation by SIGHUP in real processes keeps the membership whole."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import os
from pathlib import Path
import secrets
import signal
import socket
import sys

import aiohttp
import msgspec

from medlar_node.status import Status

HOST = "127.0.0.1"
BALANCERS = 3
FAILURE_DETECTION_S = 4.0
"""Processes without a common key have lost each other after this time."""
LIMIT_S = 20.0


def free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in socks]


class Daemons:
    """A store and balancers, each with a key file of its own."""

    def __init__(self, folder: Path) -> None:
        store, fabric, *listens = free_ports(2 + BALANCERS)
        requests = free_ports(BALANCERS)
        self.nodes = [f"{HOST}:{port}" for port in listens]
        self.files = [folder / f"keys-{port}" for port in listens]
        self.processes: list[asyncio.subprocess.Process] = []
        self._store = store
        self._flags = [
            (
                *("--listen", node, "--place", "a"),
                *("--store", f"{HOST}:{store}"),
                *("--fabric", f"{HOST}:{fabric}"),
                *("--seeds", ",".join(self.nodes)),
                *("--key-file", str(file)),
                *("--requests", f"{HOST}:{port}"),
            )
            for node, file, port in zip(
                self.nodes, self.files, requests, strict=True
            )
        ]

    @contextlib.asynccontextmanager
    async def running(self):
        store_args = ("medlar_standins", "store", "--port", str(self._store))
        try:
            await self._start(*store_args)
            for flags in self._flags:
                await self._start("medlar_node.cli", "balancer", *flags)
            yield
        finally:
            for process in self.processes:
                if process.returncode is None:
                    process.kill()
                await process.communicate()

    async def replace_keys(self, *keys: str) -> None:
        """Replace the keys of all balancers, one process after the other."""
        for file, process in zip(self.files, self.processes[1:], strict=True):
            file.write_text("\n".join(keys) + "\n")
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)

    async def _start(self, module: str, *args: str) -> None:
        self.processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", module, *args),
                env=dict(os.environ),
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
        )


async def get(session: aiohttp.ClientSession, url: str) -> bytes:
    async with session.get(url) as res:
        return await res.read()


async def all_members_known(
    session: aiohttp.ClientSession, nodes: list[str]
) -> bool:
    """Return whether each process lists all balancers as members."""
    for node in nodes:
        try:
            body = await get(session, f"http://{node}/v1/status")
        except (aiohttp.ClientError, OSError):
            return False
        status = msgspec.json.decode(body, type=Status)
        if len({balancer.id for balancer in status.balancers}) < BALANCERS:
            return False
    return True


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not await condition():
            await asyncio.sleep(0.1)


async def refused_messages(
    session: aiohttp.ClientSession, nodes: list[str]
) -> int:
    """Return the number of messages refused for an unknown key."""
    count = 0
    for node in nodes:
        text = (await get(session, f"http://{node}/metrics")).decode()
        count += sum(
            int(float(line.split()[-1]))
            for line in text.splitlines()
            if "bad_input_total{" in line and "unknown-key" in line
        )
    return count


async def rotate_keys(folder: Path) -> None:
    old, new = secrets.token_hex(32), secrets.token_hex(32)
    daemons = Daemons(folder)
    for file in daemons.files:
        file.write_text(old + "\n")
    async with daemons.running(), aiohttp.ClientSession() as session:

        async def all_connected() -> bool:
            return await all_members_known(session, daemons.nodes)

        await wait_until(all_connected)
        for keys in ((old, new), (new, old), (new,)):
            await daemons.replace_keys(*keys)
            await asyncio.sleep(FAILURE_DETECTION_S)
            assert await all_connected(), keys
        assert await refused_messages(session, daemons.nodes) == 0
        await daemons.replace_keys("no key")
        await asyncio.sleep(FAILURE_DETECTION_S)
        assert await all_connected()
        daemons.files[0].write_text(secrets.token_hex(32) + "\n")
        daemons.processes[1].send_signal(signal.SIGHUP)
        await asyncio.sleep(FAILURE_DETECTION_S)
        assert await refused_messages(session, daemons.nodes) > 0


def test_key_rotation_loses_no_member(tmp_path):
    asyncio.run(rotate_keys(tmp_path))
