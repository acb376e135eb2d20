"""Structured logs on standard output that never hold the process up.

A reader that stops makes the newest lines wait in a ring; the oldest
give way and are counted.
"""

import asyncio
import collections
import logging
import os

from ..logs import send_to

LINES_KEPT = 500


class LogPipe(logging.Handler):
    """Writes lines to a descriptor as far as it takes them."""

    def __init__(self, fd: int, kept: int = LINES_KEPT) -> None:
        super().__init__()
        self._fd = fd
        self._waiting: collections.deque[bytes] = collections.deque()
        self._kept = kept
        self._loop: asyncio.AbstractEventLoop | None = None
        self.lost = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or keep it until the reader goes on."""
        self._waiting.append(self.format(record).encode() + b"\n")
        if len(self._waiting) > self._kept:
            # The first line may be half written.
            del self._waiting[1]
            self.lost += 1
        self._write()

    def _write(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                count = os.write(self._fd, line)
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                self.lost += len(self._waiting)
                self._waiting.clear()
                return
            if count < len(line):
                self._waiting[0] = line[count:]
                continue
            self._waiting.popleft()
        self._rest()

    def _wait(self) -> None:
        if self._loop is None:
            try:
                self._loop = asyncio.get_running_loop()
            except RuntimeError:
                return  # before the loop runs: the next line tries again
            self._loop.add_writer(self._fd, self._write)

    def _rest(self) -> None:
        if self._loop is not None:
            self._loop.remove_writer(self._fd)
            self._loop = None


def configure(level: str, role: str, node: str) -> LogPipe:
    """Send the logs of this process to standard output as JSON."""
    pipe = LogPipe(1)
    send_to(pipe, level, role, node)
    return pipe
