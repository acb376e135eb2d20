"""Starts and stops the processes of the demo."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import os
import pathlib

from .layout import Command
from .layout import FABRIC
from .layout import seeds
from .layout import STORE

STOP_S = 20.0


class Fleet:
    """The processes of the demo; logs go to a folder, one file each."""

    def __init__(self, folder: pathlib.Path, key: str) -> None:
        self.ended_badly: list[str] = []
        self._folder = folder
        self._running: dict[str, asyncio.subprocess.Process] = {}
        self._env = {
            **os.environ,
            "MEDLARSTAGE_KEYS": key,
            "MEDLARSTAGE_STORE": STORE,
            "MEDLARSTAGE_FABRIC": FABRIC,
            "MEDLARSTAGE_SEEDS": seeds(),
            "MEDLARSTAGE_STOP_LIMIT_S": "10",
        }

    async def start(self, command: Command) -> None:
        """Start a process."""
        with (self._folder / f"{command.name}.log").open("wb") as log:
            self._running[command.name] = await asyncio.create_subprocess_exec(
                *command.args, env=self._env, stdout=log, stderr=log
            )

    async def stop(self, name: str) -> int:
        """Ask a process to stop and return its exit code."""
        process = self._running.pop(name)
        if process.returncode is None:
            process.terminate()
        try:
            async with asyncio.timeout(STOP_S):
                code = await process.wait()
        except TimeoutError:
            process.kill()
            code = await process.wait()
        if code != 0:
            self.ended_badly.append(f"{name} ended with {code}")
        return code

    async def kill(self, name: str) -> None:
        """Kill a process without warning.

        :raises RuntimeError: if no such process runs.
        """
        process = self._running.pop(name, None)
        if process is None:
            names = ", ".join(sorted(self._running))
            raise RuntimeError(
                f"--kill: got {name!r}, expected one of {names}"
            )
        process.kill()
        await process.wait()

    async def run(self, *args: str) -> str:
        """Run a command to its end and return what it printed.

        :raises RuntimeError: if it failed; the message holds its output.
        """
        process = await asyncio.create_subprocess_exec(
            *args,
            env=self._env,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        if process.returncode != 0:
            output = (err or out).decode().strip()
            raise RuntimeError(f"{' '.join(args)}: {output}")
        return out.decode()

    def dead(self) -> list[str]:
        """Return the names of processes that exited unexpectedly."""
        return [
            name
            for name, process in self._running.items()
            if process.returncode is not None
        ]

    async def stop_all(self) -> None:
        """Stop balancers and agents first, then servers, then the rest."""
        order = sorted(self._running, key=_stop_order)
        for group in range(3):
            names = [name for name in order if _stop_order(name) == group]
            await asyncio.gather(*(self.stop(name) for name in names))


def _stop_order(name: str) -> int:
    if name.startswith(("balancer", "agent")):
        return 0
    return 1 if name.startswith("server") else 2


@contextlib.asynccontextmanager
async def fleet(folder: pathlib.Path, key: str) -> AsyncIterator[Fleet]:
    """Yield a fleet; stop all its processes on exit."""
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.glob("*.log"):
        old.unlink()
    found = Fleet(folder, key)
    try:
        yield found
    finally:
        await found.stop_all()
