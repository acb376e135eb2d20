"""Dispatches events to a reducer and executes its effects."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import msgspec

from medlar_core.effects import CallStore
from medlar_core.effects import Deliver
from medlar_core.effects import Forward
from medlar_core.effects import Record
from medlar_core.effects import Return
from medlar_core.effects import Send
from medlar_core.events import PacketArrived
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.keys.envelope import Envelope
from medlar_core.keys.envelope import seal
from medlar_core.keys.envelope import unseal
from medlar_core.keys.seal import Sealer
from medlar_core.keys.seal import SealReason
from medlar_core.packets import Packet
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.recorder import Recorder
from medlar_core.wire import decode
from medlar_core.wire import encode

from .datagrams import DatagramSocket
from .logs import part_logger
from .metrics import Metrics

TICK_INTERVAL_S = 0.1
DATAGRAM_LIMIT_BYTES = 1200
CONTROL_TIMEOUT_S = 5.0
MAX_CONCURRENT_POSTS = 64
"""Limit of concurrent control messages over HTTP."""

log = part_logger("process")

StoreFunction = Callable[[StoreOp], Awaitable[StoreAnswer]]


class Process:
    """One reducer with its sockets, store and time line.

    ``execute_role_effect`` receives the effects that only one role has,
    ``deliver`` the packets for the local server; ``fabric`` is the
    ``ip:port`` that receives packets for callers.
    """

    def __init__(
        self,
        node: NodeId,
        reducer: Reducer,
        sealer: Sealer,
        recorder: Recorder,
        metrics: Metrics,
        call_store: StoreFunction,
        fabric: str,
    ) -> None:
        self.node = node
        self.reducer = reducer
        self.recorder = recorder
        self.metrics = metrics
        self.execute_role_effect: Callable[[Any], None] = (
            _reject_unknown_effect
        )
        self.deliver: Callable[[Packet], None] = _reject_unknown_effect
        self._sealer = sealer
        self._call_store = call_store
        self._fabric = fabric
        self._datagrams = DatagramSocket(
            self._receive_packet, self.receive_control, metrics
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._posts = asyncio.Semaphore(MAX_CONCURRENT_POSTS)
        self._session: ClientSession | None = None

    async def start(self) -> None:
        """Open the sockets and start the periodic ticks."""
        self._session = ClientSession(
            timeout=ClientTimeout(total=CONTROL_TIMEOUT_S)
        )
        await self._datagrams.listen(self.node)
        self._spawn(self._tick())

    async def stop(self) -> None:
        """Cancel the pending tasks and close the sockets."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._datagrams.close()
        if self._session is not None:
            await self._session.close()

    def now(self) -> Seconds:
        """Return monotonic time in seconds."""
        return Seconds(time.monotonic())

    def dispatch(self, event: Any) -> None:
        """Dispatch an event to the reducer and execute its effects."""
        began = time.thread_time()
        try:
            effects = self.reducer.reduce(self.now(), event)
        except Exception:
            # A fault in one event must not end the flows of all callers.
            self.metrics.fault(type(event).__name__)
            log.exception(
                "reducer failed on event %s; event dropped",
                type(event).__name__,
            )
            return
        self.metrics.control_seconds.inc(time.thread_time() - began)
        for effect in effects:
            self._execute(effect)

    def receive_control(self, sealed: bytes) -> None:
        """Handle a sealed control message received by UDP or HTTP."""
        opened = self.unseal(sealed, "control")
        if isinstance(opened, SealReason):
            return
        try:
            msg = decode(opened.body)
        except msgspec.DecodeError:
            self.metrics.bad_input("control", "malformed")
            return
        self.recorder.clock.observe(_wall_ms(), opened.stamp)
        self.metrics.control(type(msg).__name__, "in", len(sealed))
        self.dispatch(Received(opened.src, msg))

    def unseal(self, sealed: bytes, part: str) -> Envelope | SealReason:
        """Return the opened envelope; count and record a refusal."""
        opened = unseal(self._sealer, time.time(), sealed)
        if isinstance(opened, SealReason):
            self.metrics.bad_input(part, opened.value)
            self.record(
                TimelineEvent(
                    Topic.KEYS, "message refused", reason=opened.value
                )
            )
        return opened

    def record(self, event: TimelineEvent) -> None:
        """Record an event on the time line, and count and log it."""
        self.metrics.event(event.topic, event.reason)
        if self.recorder.record(_wall_ms(), event):
            log.info(
                event.text,
                extra={
                    name: value
                    for name, value in msgspec.structs.asdict(event).items()
                    if value and name not in ("text", "topic")
                },
            )

    def _execute(self, effect: Any) -> None:
        match effect:
            case Forward(dst=dst, packet=packet):
                self.metrics.packet("forwarded")
                self._datagrams.send_packet(dst, packet)
            case Deliver(packet=packet):
                self.metrics.packet("delivered")
                self.deliver(packet)
            case Return(packet=packet):
                self.metrics.packet("returned")
                self._datagrams.send_packet(self._fabric, packet)
            case Send(dst=dst, msg=msg):
                self._send(dst, msg)
            case CallStore(call=call, op=op):
                self._spawn(self._call(call, op))
            case Record(event=event):
                self.record(event)
            case _:
                self.execute_role_effect(effect)

    def _receive_packet(self, packet: Packet) -> None:
        self.metrics.packet("arrived")
        self.dispatch(PacketArrived(packet))

    def _send(self, dst: NodeId, msg: msgspec.Struct) -> None:
        stamp = self.recorder.clock.tick(_wall_ms())
        sealed = seal(self._sealer, time.time(), stamp, encode(msg), dst)
        self.metrics.control(type(msg).__name__, "out", len(sealed))
        if len(sealed) <= DATAGRAM_LIMIT_BYTES:
            self._datagrams.send_control(dst, sealed)
        elif not self._posts.locked():
            self._spawn(self._post(dst, sealed))

    async def _post(self, dst: NodeId, sealed: bytes) -> None:
        assert self._session is not None
        async with self._posts:
            try:
                url = f"http://{dst}/v1/control"
                async with self._session.post(url, data=sealed) as res:
                    await res.read()
            except (ClientError, OSError, TimeoutError):
                # Control messages may be lost; the reducers send them again.
                self.metrics.control("lost", "out", len(sealed))

    async def _call(self, call: Any, op: StoreOp) -> None:
        answer = await self._call_store(op)
        result = type(answer).__name__
        self.metrics.store_call(type(op).__name__, result)
        if isinstance(answer, Unavailable):
            log.debug("store unavailable", extra={"why": answer.why})
        self.dispatch(StoreAnswered(call, answer))

    async def _tick(self) -> None:
        while True:
            self.dispatch(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


def _reject_unknown_effect(effect: Any) -> None:
    raise TypeError(f"expected an effect of this role, got {effect!r}")
