"""One process of the relay: carries out what its reducer decides."""

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
from medlar_core.relay.forwarded import decode as decode_wrapped
from medlar_core.relay.forwarded import encode as encode_wrapped
from medlar_core.relay.members import Members
from medlar_core.relay.messages import decode as decode_message
from medlar_core.relay.messages import encode as encode_message
from medlar_core.relay.messages import RelayMessage
from medlar_core.relay.routes import RouteTable
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

from ..addresses import split
from ..logs import part_logger
from .http import HttpClient
from .http import HttpError
from .http import Request
from .http import Response
from .http import serving
from .log import LogPipe
from .settings import RelaySettings
from .tally import CONTENT_TYPE
from .tally import Tally
from .udp import OnDatagram
from .udp import UdpPort

TICK_S = 0.1
FETCH_LIMIT_S = 1.0
PROBE_LIMIT_S = 0.3
EVENTS_KEPT = 1_200
LINES_PER_S = 30.0
"""Log lines of one topic and reason; more are counted, not written."""
PACKET_MARK = b"P"
CONTROL_MARK = b"C"
ROUTES_PATH = "/v1/routes"
METRICS_PATH = "/metrics"

log = part_logger("process")

AskStore = Callable[[StoreOp], Awaitable[StoreAnswer]]


class RelayReducer(Reducer, Protocol):
    """A reducer of either role."""

    members: Members

    def gauges(self, now: Seconds) -> dict[str, float]:
        """Return figures of the moment by name."""
        ...


class RelayProcess:
    """Gives events to a reducer and carries out its effects.

    The composition root sets the ports before the first event.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        reducer: RelayReducer,
        codec: SegmentCodec,
        ask_store: AskStore,
        pipe: LogPipe,
    ) -> None:
        self._cfg = cfg
        self._reducer = reducer
        self._codec = codec
        self._ask_store = ask_store
        self._pipe = pipe
        self._store_lost = False
        self._encoded_msg: RelayMessage | None = None
        self._datagram = b""
        self._tasks: set[asyncio.Task[None]] = set()
        self.recorder = Recorder(cfg.node, EVENTS_KEPT, LINES_PER_S)
        self.tally = Tally()
        self.tally.gauges = self._gauges
        self.peers: UdpPort | None = None
        self.callers: UdpPort | None = None
        self.server: UdpPort | None = None
        self.stop_asked = asyncio.Event()
        # A balancer stands beside no server.
        self._server = split(cfg.server) if cfg.server else ("", 0)

    def give(self, event: Any) -> None:
        """Let the reducer take an event and carry out its effects."""
        began = now()
        effects = self._reducer.reduce(began, event)
        self.tally.decision_s.observe(now() - began)
        for effect in effects:
            self._carry(effect)

    def read(self, data: bytes, src: str) -> Segment | None:
        """Return the segment in a datagram, None if it holds none."""
        try:
            return self._codec.decode(data)
        except ValueError as exc:
            self.unreadable("packet", src, str(exc))
            return None

    def taking(self, kind: Callable[[Segment], Any]) -> OnDatagram:
        """Return what gives each segment that comes as an event."""

        def take(data: bytes, src: str) -> None:
            segment = self.read(data, src)
            if segment is not None:
                self.give(kind(segment))

        return take

    def from_peer(self, data: bytes, src: str) -> None:
        """Take a datagram of another process."""
        match data[:1]:
            case b"P":
                self._packet(data[1:], NodeId(src))
            case b"C":
                self._message(data[1:], NodeId(src))
            case _:
                self.unreadable("datagram", src, "unknown mark")

    async def ticking(self) -> None:
        """Give ticks until cancelled."""
        while True:
            began = now()
            self._note_ports()
            self.give(Tick())
            for age in self._reducer.members.report_ages(began):
                self.tally.belief_s.observe(age)
            await asyncio.sleep(TICK_S)
            self.tally.lag_s.observe(max(0.0, now() - began - TICK_S))

    def _gauges(self) -> dict[str, float]:
        gauges = self._reducer.gauges(now())
        return {**gauges, "log_lines_lost": self._pipe.lost}

    def _note_ports(self) -> None:
        """Count what the ports dropped; log what became stale."""
        ports = (self.peers, self.callers, self.server)
        opened = {id(port): port for port in ports if port is not None}
        dropped = sum(port.dropped for port in opened.values())
        self.tally.packets["unsent"] = dropped
        if self.callers is None:
            return
        self.callers.runs()
        thrown = self.callers.stale - self.tally.packets["stale"]
        if thrown:
            self.tally.packets["stale"] += thrown
            text = f"input: stood still, threw {thrown} packets away"
            self._record(TimelineEvent(Topic.PROCESS, text, reason="stale"))

    def unreadable(self, kind: str, src: str, why: str) -> None:
        """Count input that cannot be read, and log it within a budget."""
        self.tally.unreadable[kind] += 1
        self._record(
            TimelineEvent(
                Topic.PROCESS,
                f"input: unreadable {kind} from {src}: {why}",
                reason=f"unreadable {kind}",
            )
        )

    def listen_to_signals(self) -> None:
        """Stop in good order when asked to."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop, number)

    def ended(self, task: "asyncio.Task[None]") -> None:
        """Stop in good order if a task that must go on has failed.

        Without ticks nothing would be told or expire any more.
        """
        if task.cancelled() or task.exception() is None:
            return
        log.error("task failed, stopping", exc_info=task.exception())
        self.stop_asked.set()

    def _stop(self, number: signal.Signals) -> None:
        if not self.stop_asked.is_set():
            log.info("asked to stop", extra={"signal": number.name})
            self.stop_asked.set()
            self.give(StopAsked())

    def _packet(self, data: bytes, src: NodeId) -> None:
        try:
            wrapped = decode_wrapped(data)
        except msgspec.DecodeError as exc:
            self.unreadable("packet", src, str(exc))
            return
        segment = self.read(wrapped.data, src)
        if segment is not None:
            self.give(PacketForwarded(src, wrapped, segment))

    def _message(self, data: bytes, src: NodeId) -> None:
        try:
            msg = decode_message(data)
        except msgspec.DecodeError as exc:
            self.unreadable("message", src, str(exc))
            return
        self.give(Received(src, msg))

    def _carry(self, effect: Any) -> None:
        match effect:
            case ForwardToAgent(dst=dst, wrapped=wrapped):
                self.tally.packets["passed"] += 1
                self._to_peer(dst, PACKET_MARK + encode_wrapped(wrapped))
            case DeliverToServer(data=data):
                self.tally.packets["to server"] += 1
                assert self.server is not None
                self.server.send(data, *self._server)
            case SendToCaller(caller=caller, data=data):
                self.tally.packets["to caller"] += 1
                assert self.callers is not None
                self.callers.send(data, host_of(caller), self._cfg.caller_port)
            case Send(dst=dst, msg=msg):
                self.tally.messages[type(msg).__name__] += 1
                self._to_peer(dst, self._encoded(msg))
            case Record(event=event):
                self._record(event)
            case CallStore(call=call, op=op):
                self._spawn(self._call(call, op))
            case ProbeServer():
                self._spawn(self._probe())
            case FetchRoutes(src=src):
                self._spawn(self._fetch(src))
            case _:
                raise TypeError(f"expected an effect, got {effect!r}")

    def _encoded(self, msg: RelayMessage) -> bytes:
        """Return a message's datagram; many go to several peers in turn."""
        if msg is not self._encoded_msg:
            self._encoded_msg = msg
            self._datagram = CONTROL_MARK + encode_message(msg)
        return self._datagram

    def _to_peer(self, dst: NodeId, data: bytes) -> None:
        assert self.peers is not None
        self.tally.peer_bytes += len(data)
        host, port = split(dst)
        self.peers.send(data, host, port)

    def _record(self, event: TimelineEvent) -> None:
        wall_ms = time.time_ns() // 1_000_000
        self.tally.decisions[(event.topic.value, event.reason)] += 1
        if not self.recorder.record(wall_ms, event):
            self.tally.held_back += 1
            return
        told = msgspec.to_builtins(event)
        text = told.pop("text")
        log.info(text, extra=told)

    async def _call(self, call: Any, op: StoreOp) -> None:
        began = now()
        answer = await self._ask_store(op)
        result = type(answer).__name__
        if isinstance(answer, Unavailable):
            result = answer.why
        self.tally.store_calls[(type(op).__name__, result)] += 1
        if not isinstance(op, Watch):
            self.tally.store_s.observe(now() - began)
        self._note_store(answer)
        self.give(StoreAnswered(call, answer))

    def _note_store(self, answer: StoreAnswer) -> None:
        """Log that the store was lost or is back."""
        lost = isinstance(answer, Unavailable)
        if lost is self._store_lost:
            return
        self._store_lost = lost
        if isinstance(answer, Unavailable):
            log.warning("store lost", extra={"why": answer.why})
        else:
            log.info("store is back", extra={"by": type(answer).__name__})

    async def _probe(self) -> None:
        """Connect to the server; it need not answer any request."""
        try:
            async with asyncio.timeout(PROBE_LIMIT_S):
                _, writer = await asyncio.open_connection(*self._server)
        except ConnectionRefusedError:
            self.give(ServerProbed(alive=False, ready=False))
            return
        except (OSError, TimeoutError) as exc:
            log.warning("server not reached", extra={"why": str(exc)})
            return
        writer.close()
        self.give(ServerProbed(alive=True, ready=False))

    async def _fetch(self, src: NodeId) -> None:
        client = HttpClient(src)
        try:
            req = Request("GET", ROUTES_PATH)
            res = await client.call(req, FETCH_LIMIT_S)
            table = msgspec.json.decode(res.body, type=RouteTable)
        except (HttpError, msgspec.DecodeError) as exc:
            log.warning("no routes", extra={"src": src, "why": str(exc)})
            return
        finally:
            client.close()
        self.give(RoutesFetched(src, table))

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())


async def peer_answer(req: Request, table: RouteTable | None) -> Response:
    """Answer another process that asks for the configuration."""
    if req.target != ROUTES_PATH or table is None:
        return Response(404)
    return Response(200, msgspec.json.encode(table))


@contextlib.asynccontextmanager
async def running(
    process: RelayProcess, *others: Coroutine[Any, Any, None]
) -> AsyncIterator[None]:
    """Give ticks, take signals and run others while the context is open."""
    process.listen_to_signals()
    coros = (process.ticking(), *others)
    tasks = [asyncio.create_task(coro) for coro in coros]
    for task in tasks:
        task.add_done_callback(process.ended)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


@contextlib.asynccontextmanager
async def metrics(address: str, tally: Tally) -> AsyncIterator[None]:
    """Serve metrics at ``ip:port`` while the context is open."""

    async def answer(req: Request) -> Response:
        if req.target != METRICS_PATH:
            return Response(404)
        return Response(200, tally.text(), CONTENT_TYPE)

    async with contextlib.AsyncExitStack() as stack:
        if address:
            await stack.enter_async_context(serving(address, answer))
        yield


def now() -> Seconds:
    """Return monotonic time."""
    return Seconds(time.monotonic())
