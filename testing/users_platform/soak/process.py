"""A real process of the product: started, signalled, started again."""

import asyncio
import json
import os
from pathlib import Path
import signal
import sys

GRACE_S = 6.0


class Process:
    """One process at one address; ends only what it has started."""

    def __init__(self, settings: Path, log: Path) -> None:
        self.failures: list[str] = []
        """What it said of its own errors, and ends of its own."""
        self._settings = settings
        self._log = log
        self._child: asyncio.subprocess.Process | None = None
        self._expected: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._starting = asyncio.Lock()

    async def start(self) -> None:
        """Start it unless it runs."""
        async with self._starting:
            if self._child is None or self._child.returncode is not None:
                await self._start()

    async def _start(self) -> None:
        self._child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "medlar_platform",
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "MEDLARSTAGE_SETTINGS": str(self._settings)},
        )
        task = asyncio.create_task(self._follow(self._child))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if it runs."""
        child = self._child
        if child is not None and child.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._expected.add(child.pid)
            child.send_signal(number)

    async def stop(self) -> None:
        """Ask it to stop, kill it after the grace period."""
        child = self._child
        if child is None:
            return
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await child.wait()

    async def end(self) -> None:
        """Kill it and wait for its end."""
        self.signal(signal.SIGKILL)
        await asyncio.gather(*self._tasks)

    async def _follow(self, child: asyncio.subprocess.Process) -> None:
        """Keep what it writes, and note what went wrong."""
        assert child.stdout is not None
        with self._log.open("ab") as file:
            async for line in child.stdout:
                file.write(line)
                if b'"ERROR"' in line:
                    said = json.loads(line)["message"]
                    self.failures.append(f"{self._settings.stem}: {said}")
        await child.wait()
        if child.pid not in self._expected:
            what = f"ended by itself with {child.returncode}"
            self.failures.append(f"{self._settings.stem}: {what}")
