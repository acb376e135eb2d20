"""Event loop that reads UDP sockets between its rounds.

A round of the standard loop takes longer than reading and forwarding a
datagram does. This loop reads datagrams while it waits for other work, and
starts a round only if there is some: an event of another descriptor, a due
timer, or a callback that was scheduled meanwhile.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import contextvars
import selectors
import socket
import time
from typing import TypeVarTuple

import msgspec

_Ts = TypeVarTuple("_Ts")
_Events = list[tuple[selectors.SelectorKey, int]]


class _DatagramReader(msgspec.Struct, frozen=True):
    """Registered for a UDP socket; ``read`` reads what it has received."""

    read: Callable[[], None]


class DatagramSelector(selectors.EpollSelector):
    """Calls the readers of UDP sockets while it waits for other events."""

    def __init__(self, on_error: Callable[[BaseException], None]) -> None:
        super().__init__()
        self._on_error = on_error
        self._has_work = False

    def end_wait(self) -> None:
        """End the current wait, as a callback has been scheduled."""
        self._has_work = True

    def select(self, timeout: float | None = None) -> _Events:
        """Return events of other descriptors, none after the timeout."""
        self._has_work = False
        ends_at = None if timeout is None else time.monotonic() + timeout
        while True:
            events = self._read_datagrams(super().select(timeout))
            if events or self._has_work:
                return events
            if ends_at is not None:
                timeout = ends_at - time.monotonic()
                if timeout <= 0.0:
                    return events

    def _read_datagrams(self, events: _Events) -> _Events:
        """Call the readers among the events; return the other events."""
        others = []
        for key, mask in events:
            match key.data:
                case _DatagramReader(read=read):
                    self._call(read)
                case _:
                    others.append((key, mask))
        return others

    def _call(self, read: Callable[[], None]) -> None:
        try:
            read()
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as exc:
            self._on_error(exc)


class DatagramLoop(asyncio.SelectorEventLoop):
    """Event loop with datagram readers, otherwise the standard one."""

    def __init__(self) -> None:
        self._datagrams = DatagramSelector(self._report_error)
        super().__init__(self._datagrams)

    def add_datagram_reader(
        self, sock: socket.socket, read: Callable[[], None]
    ) -> None:
        """Call ``read`` when the socket has received datagrams."""
        reader = _DatagramReader(read)
        self._datagrams.register(sock, selectors.EVENT_READ, reader)

    def remove_datagram_reader(self, sock: socket.socket) -> None:
        """Stop reading a socket."""
        self._datagrams.unregister(sock)

    def call_soon(
        self,
        callback: Callable[[*_Ts], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback for the next round."""
        self._datagrams.end_wait()
        return super().call_soon(callback, *args, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[[*_Ts], object],
        *args: *_Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time, maybe before the wait's end."""
        self._datagrams.end_wait()
        return super().call_at(when, callback, *args, context=context)

    def _report_error(self, exc: BaseException) -> None:
        self.call_exception_handler(
            {"message": "Exception in a datagram reader", "exception": exc}
        )


@contextlib.contextmanager
def reading(sock: socket.socket, read: Callable[[], None]) -> Iterator[None]:
    """Call ``read`` for received datagrams while the context is open."""
    loop = asyncio.get_running_loop()
    match loop:
        case DatagramLoop():
            loop.add_datagram_reader(sock, read)
            try:
                yield
            finally:
                loop.remove_datagram_reader(sock)
        case _:
            loop.add_reader(sock, read)
            try:
                yield
            finally:
                loop.remove_reader(sock)
