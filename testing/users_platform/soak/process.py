"""Control of a real relay process: start, signals, restart."""

import asyncio
import json
import os
from pathlib import Path
import signal
import sys

GRACE_S = 6.0


class Process:
    """Relay process with one settings file; may be restarted."""

    def __init__(self, settings: Path, log: Path) -> None:
        self.failures: list[str] = []
        """Errors it logged and exits that were not requested."""
        self._settings = settings
        self._log = log
        self._child: asyncio.subprocess.Process | None = None
        self._expected_exits: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._start_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the process unless it is running.

        Concurrent calls are serialized: two faults may end at the same time.
        """
        async with self._start_lock:
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
        task = asyncio.create_task(self._read_output(self._child))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        child = self._child
        if child is not None and child.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._expected_exits.add(child.pid)
            child.send_signal(number)

    async def stop(self) -> None:
        """Send SIGTERM; kill the process after the grace period."""
        child = self._child
        if child is None:
            return
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(child.wait(), GRACE_S)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await child.wait()

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        await asyncio.gather(*self._tasks)

    async def _read_output(self, child: asyncio.subprocess.Process) -> None:
        """Write output to the log file; record errors and unexpected exits."""
        assert child.stdout is not None
        with self._log.open("ab") as file:
            async for line in child.stdout:
                file.write(line)
                if b'"ERROR"' in line:
                    message = json.loads(line)["message"]
                    self.failures.append(f"{self._settings.stem}: {message}")
        await child.wait()
        if child.pid not in self._expected_exits:
            what = f"exited unexpectedly with status {child.returncode}"
            self.failures.append(f"{self._settings.stem}: {what}")
