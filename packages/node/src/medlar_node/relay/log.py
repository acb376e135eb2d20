"""Structured logs on standard output that never block the process.

While the reader does not read, the newest lines are kept in a bounded
queue; older lines are dropped and counted.
"""

import asyncio
import collections
import logging
import os

from ..logs import configure_handler

PENDING_LINES_MAX = 500


class LogPipe(logging.Handler):
    """Non-blocking handler that writes lines to a file descriptor.

    ``lost`` counts dropped lines.
    """

    def __init__(self, fd: int, max_pending: int = PENDING_LINES_MAX) -> None:
        super().__init__()
        self._fd = fd
        self._pending: collections.deque[bytes] = collections.deque()
        self._max_pending = max_pending
        self._loop: asyncio.AbstractEventLoop | None = None
        self.lost = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or queue it until the descriptor is writable."""
        self._pending.append(self.format(record).encode() + b"\n")
        if len(self._pending) > self._max_pending:
            # The first line may be partly written and must be completed.
            del self._pending[1]
            self.lost += 1
        self._write()

    def _write(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                count = os.write(self._fd, line)
            except BlockingIOError:
                self._resume_when_writable()
                return
            except OSError:
                self.lost += len(self._pending)
                self._pending.clear()
                return
            if count < len(line):
                self._pending[0] = line[count:]
                continue
            self._pending.popleft()
        self._stop_watching()

    def _resume_when_writable(self) -> None:
        if self._loop is None:
            try:
                self._loop = asyncio.get_running_loop()
            except RuntimeError:
                return  # no event loop yet; the next line retries
            self._loop.add_writer(self._fd, self._write)

    def _stop_watching(self) -> None:
        if self._loop is not None:
            self._loop.remove_writer(self._fd)
            self._loop = None


def configure(level: str, role: str, node: str) -> LogPipe:
    """Send the logs of this process to standard output as JSON."""
    pipe = LogPipe(1)
    configure_handler(pipe, level, role, node)
    return pipe
