"""Process of the relay: feeds events to a reducer, executes its effects."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import signal
import time
from typing import Any
from typing import Protocol

import msgspec

from medlar_core.effects import CallStore
from medlar_core.effects import Record
from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.events import ServerProbed
from medlar_core.events import StopAsked
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds
from medlar_core.relay.effects import DeliverToServer
from medlar_core.relay.effects import FetchRoutes
from medlar_core.relay.effects import ForwardToAgent
from medlar_core.relay.effects import ProbeServer
from medlar_core.relay.effects import SendToCaller
from medlar_core.relay.events import PacketForwarded
from medlar_core.relay.events import RoutesFetched
from medlar_core.relay.events import RoutesFetchFailed
from medlar_core.relay.lookup.forwarded import decode as decode_packet
from medlar_core.relay.lookup.forwarded import encode as encode_packet
from medlar_core.relay.members import Members
from medlar_core.relay.messages import decode as decode_message
from medlar_core.relay.messages import encode as encode_message
from medlar_core.relay.messages import RelayMessage
from medlar_core.relay.segment import host_of
from medlar_core.relay.segment import Segment
from medlar_core.relay.segment import SegmentCodec
from medlar_core.store import StoreAnswer
from medlar_core.store import StoreOp
from medlar_core.store import Unavailable
from medlar_core.store import Watch
from medlar_core.timeline.events import TimelineEvent
from medlar_core.timeline.events import Topic
from medlar_core.timeline.recorder import Recorder

from ..addresses import split_endpoint
from ..logs import part_logger
from .http import HttpClient
from .http import HttpError
from .http import Request
from .http import Response
from .http import serving
from .log import LogPipe
from .metrics import CONTENT_TYPE
from .metrics import RelayMetrics
from .route_exchange import fetch
from .settings import RelaySettings
from .udp import OnDatagram
from .udp import UdpPort

TICK_S = 0.1
MAX_FAILED_TICKS = 10
"""Ticks that may fail in a row, by a state that passes; a process that can
do no periodic work stops."""
OBSERVE_INTERVAL_S = 1.0
"""Time between two observations of the ages of all reports."""
PROBE_LIMIT_S = 0.3
RECORDED_EVENTS_MAX = 1_200
LOG_LINES_PER_S = 30.0
"""Limit per topic and reason; suppressed lines are counted."""
PACKET_MARK = b"P"
CONTROL_MARK = b"C"
METRICS_PATH = "/metrics"

log = part_logger("process")

ExecuteOp = Callable[[StoreOp], Awaitable[StoreAnswer]]
"""Executes a store operation; failures are returned as ``Unavailable``."""


class RelayReducer(Reducer, Protocol):
    """Reducer of either role."""

    members: Members

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return the current values of gauges by name."""
        ...


class RelayProcess:
    """Passes events to a reducer and executes the returned effects.

    The composition root sets the sockets before the first event.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        reducer: RelayReducer,
        codec: SegmentCodec,
        execute_op: ExecuteOp,
        pipe: LogPipe,
    ) -> None:
        self._cfg = cfg
        self._reducer = reducer
        self._codec = codec
        self._execute_op = execute_op
        self._pipe = pipe
        self._store_unavailable = False
        self._last_msg: RelayMessage | None = None
        self._last_datagram = b""
        self._tasks: set[asyncio.Task[None]] = set()
        self.recorder = Recorder(
            cfg.node, RECORDED_EVENTS_MAX, LOG_LINES_PER_S
        )
        self.metrics = RelayMetrics()
        self.metrics.gauges = self._gauges
        self.peer_socket: UdpPort | None = None
        self.caller_socket: UdpPort | None = None
        self.server_socket: UdpPort | None = None
        self.stop_requested = asyncio.Event()
        # A balancer has no local server.
        self._server_address = (
            split_endpoint(cfg.server) if cfg.server else ("", 0)
        )

    def dispatch(self, event: Any, at: Seconds | None = None) -> None:
        """Pass an event to the reducer and execute the returned effects.

        ``at`` is when the event happened, by default now.
        """
        started_at = now() if at is None else at
        effects = self._reducer.reduce(started_at, event)
        self.metrics.decision_s.observe(now() - started_at)
        for effect in effects:
            self._apply_effect(effect)

    def decode_segment(self, data: bytes, src: str) -> Segment | None:
        """Return the segment in a datagram, None if it cannot be decoded."""
        try:
            return self._codec.decode(data)
        except ValueError as exc:
            self.report_unreadable("packet", src, str(exc))
            return None

    def segment_handler(
        self, event_type: Callable[[Segment], Any]
    ) -> OnDatagram:
        """Return a handler that dispatches ``event_type(segment)``."""

        def on_datagram(data: bytes, src: str) -> None:
            segment = self.decode_segment(data, src)
            if segment is not None:
                self.dispatch(event_type(segment))

        return on_datagram

    def handle_peer_datagram(self, data: bytes, src: str) -> None:
        """Handle a datagram from another relay process."""
        match data[:1]:
            case b"P":
                self._handle_packet(data[1:], NodeId(src))
            case b"C":
                self._handle_message(data[1:], NodeId(src))
            case _:
                self.report_unreadable(
                    "datagram", src, "expected the mark P or C"
                )

    async def run_ticks(self) -> None:
        """Dispatch ticks until cancelled.

        :raises RuntimeError: if over ``MAX_FAILED_TICKS`` fail in a row.
        """
        observe_at = 0.0
        failed_ticks = 0
        while True:
            started_at = now()
            self._update_socket_counters()
            failed_ticks = 0 if self._dispatch_tick() else failed_ticks + 1
            if failed_ticks > MAX_FAILED_TICKS:
                raise RuntimeError(f"{failed_ticks} ticks failed in a row")
            if started_at >= observe_at:
                observe_at = started_at + OBSERVE_INTERVAL_S
                ages = self._reducer.members.report_ages(started_at)
                self.metrics.report_age_s.observe_all(ages)
            await asyncio.sleep(TICK_S)
            self.metrics.lag_s.observe(max(0.0, now() - started_at - TICK_S))

    def _dispatch_tick(self) -> bool:
        """Dispatch a tick; return whether it was handled without an error."""
        try:
            self.dispatch(Tick())
        except Exception:
            log.exception("tick failed")
            return False
        return True

    def _gauges(self) -> dict[str, float]:
        gauges = self._reducer.gauges(now())
        return {**gauges, "log_lines_lost": self._pipe.lost}

    def _update_socket_counters(self) -> None:
        """Update packet counters; log packets discarded after a pause."""
        sockets = (self.peer_socket, self.caller_socket, self.server_socket)
        # An agent uses one socket as both server and caller socket.
        distinct = {id(sock): sock for sock in sockets if sock is not None}
        unsent = sum(sock.send_failures for sock in distinct.values())
        self.metrics.packets["unsent"] = unsent
        if self.caller_socket is None:
            return
        self.caller_socket.mark_running()
        discarded = (
            self.caller_socket.discarded - self.metrics.packets["stale"]
        )
        if discarded:
            self.metrics.packets["stale"] += discarded
            text = (
                f"input: discarded {discarded} packets queued during a pause"
            )
            self._record(TimelineEvent(Topic.PROCESS, text, reason="stale"))

    def report_unreadable(self, kind: str, src: str, why: str) -> None:
        """Count undecodable input and log it within the rate limit."""
        self.metrics.unreadable[kind] += 1
        self._record(
            TimelineEvent(
                Topic.PROCESS,
                f"input: unreadable {kind} from {src}: {why}",
                reason=f"unreadable {kind}",
            )
        )

    def install_signal_handlers(self) -> None:
        """Shut down gracefully on SIGTERM and SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_stop_signal, number)

    def stop_on_failure(self, task: "asyncio.Task[None]") -> None:
        """Shut down gracefully if a required task has failed.

        Without ticks, the process would send no reports and expire no state.
        """
        if task.cancelled() or task.exception() is None:
            return
        log.error("task failed, stopping", exc_info=task.exception())
        self.stop_requested.set()

    def _on_stop_signal(self, number: signal.Signals) -> None:
        if not self.stop_requested.is_set():
            log.info("stop requested", extra={"signal": number.name})
            self.stop_requested.set()
            self.dispatch(StopAsked())

    def _handle_packet(self, data: bytes, src: NodeId) -> None:
        try:
            packet = decode_packet(data)
        except msgspec.DecodeError as exc:
            self.report_unreadable("packet", src, str(exc))
            return
        segment = self.decode_segment(packet.data, src)
        if segment is not None:
            self.dispatch(PacketForwarded(src, packet, segment))

    def _handle_message(self, data: bytes, src: NodeId) -> None:
        try:
            msg = decode_message(data)
        except msgspec.DecodeError as exc:
            self.report_unreadable("message", src, str(exc))
            return
        self.dispatch(Received(src, msg))

    def _apply_effect(self, effect: Any) -> None:
        match effect:
            case ForwardToAgent(dst=dst, packet=packet):
                self.metrics.packets["passed"] += 1
                self._send_to_peer(dst, PACKET_MARK + encode_packet(packet))
            case DeliverToServer(data=data):
                self.metrics.packets["to server"] += 1
                assert self.server_socket is not None
                self.server_socket.send(data, *self._server_address)
            case SendToCaller(caller=caller, data=data):
                self.metrics.packets["to caller"] += 1
                assert self.caller_socket is not None
                self.caller_socket.send(
                    data, host_of(caller), self._cfg.caller_port
                )
            case Send(dst=dst, msg=msg):
                self.metrics.messages[type(msg).__name__] += 1
                self._send_to_peer(dst, self._encode(msg))
            case Record(event=event):
                self._record(event)
            case CallStore(call=call, op=op):
                self._spawn(self._call_store(call, op))
            case ProbeServer():
                self._spawn(self._probe_server())
            case FetchRoutes(src=src):
                self._spawn(self._fetch_routes(src))
            case _:
                raise TypeError(f"expected an effect, got {effect!r}")

    def _encode(self, msg: RelayMessage) -> bytes:
        """Return a message's datagram.

        The last one is cached, as one message often goes to several peers.
        """
        if msg is not self._last_msg:
            self._last_msg = msg
            self._last_datagram = CONTROL_MARK + encode_message(msg)
        return self._last_datagram

    def _send_to_peer(self, dst: NodeId, data: bytes) -> None:
        assert self.peer_socket is not None
        self.metrics.peer_bytes += len(data)
        host, port = split_endpoint(dst)
        self.peer_socket.send(data, host, port)

    def _record(self, event: TimelineEvent) -> None:
        wall_ms = time.time_ns() // 1_000_000
        self.metrics.decisions[(event.topic.value, event.reason)] += 1
        if not self.recorder.record(wall_ms, event):
            self.metrics.suppressed_lines += 1
            return
        fields = msgspec.to_builtins(event)
        text = fields.pop("text")
        log.info(text, extra=fields)

    async def _call_store(self, call: Any, op: StoreOp) -> None:
        started_at = now()
        answer = await self._execute_op(op)
        result = type(answer).__name__
        if isinstance(answer, Unavailable):
            result = answer.why
        self.metrics.store_calls[(type(op).__name__, result)] += 1
        if not isinstance(op, Watch):
            self.metrics.store_call_s.observe(now() - started_at)
        self._log_store_state(answer)
        self.dispatch(StoreAnswered(call, answer))

    def _log_store_state(self, answer: StoreAnswer) -> None:
        """Log when the store becomes unavailable or available again."""
        unavailable = isinstance(answer, Unavailable)
        if unavailable is self._store_unavailable:
            return
        self._store_unavailable = unavailable
        if isinstance(answer, Unavailable):
            log.warning("store unavailable", extra={"why": answer.why})
        else:
            log.info(
                "store available again", extra={"by": type(answer).__name__}
            )

    async def _probe_server(self) -> None:
        """Probe the local server by a TCP connection without a request."""
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                _, writer = await asyncio.open_connection(
                    *self._server_address
                )
        except ConnectionRefusedError:
            self.dispatch(ServerProbed(alive=False, ready=False))
            return
        except (OSError, TimeoutError) as exc:
            log.warning("server probe inconclusive", extra={"why": str(exc)})
            return
        writer.close()
        self.dispatch(ServerProbed(alive=True, ready=False))

    async def _fetch_routes(self, src: NodeId) -> None:
        client = HttpClient(src)
        started_at = now()
        try:
            fetched = await fetch(client)
        except (HttpError, ValueError) as exc:
            fields = {"src": src, "why": str(exc), "s": _age_s(started_at)}
            log.warning("cannot fetch routes", extra=fields)
            self.dispatch(RoutesFetchFailed(src))
            return
        finally:
            client.close()
        shared = fetched.shared
        fields = {
            "src": src,
            "version": shared.version,
            "bytes": fetched.size,
            "s": _age_s(started_at),
        }
        log.info("fetched routes", extra=fields)
        self.dispatch(
            RoutesFetched(src, shared.table, shared.record, shared.evacuated)
        )

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())


@contextlib.asynccontextmanager
async def running(
    process: RelayProcess, *others: Coroutine[Any, Any, None]
) -> AsyncIterator[None]:
    """Run ticks, signal handlers and ``others`` while the context is open."""
    process.install_signal_handlers()
    coros = (process.run_ticks(), *others)
    tasks = [asyncio.create_task(coro) for coro in coros]
    for task in tasks:
        task.add_done_callback(process.stop_on_failure)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def serving_metrics(
    address: str, metrics: RelayMetrics
) -> AsyncIterator[None]:
    """Serve metrics at ``ip:port`` while the context is open.

    Nothing is served if ``address`` is empty.
    """

    async def respond(req: Request) -> Response:
        if req.target != METRICS_PATH:
            return Response(404)
        return Response(200, metrics.render(), CONTENT_TYPE)

    async with contextlib.AsyncExitStack() as stack:
        if address:
            await stack.enter_async_context(serving(address, respond))
        yield


def _age_s(started_at: float) -> float:
    return round(now() - started_at, 3)


def now() -> Seconds:
    """Return the monotonic time in seconds."""
    return Seconds(time.monotonic())
