"""Reads, merges and follows the time lines of processes over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterable
import contextlib

import aiohttp
import msgspec

from medlar_core.ids import NodeId
from medlar_core.timeline.hlc import Stamp
from medlar_core.timeline.hlc import StampedEvent
from medlar_core.timeline.query import merge
from medlar_core.timeline.query import MergedTimeline
from medlar_core.timeline.query import NoResponse
from medlar_core.timeline.wire import decode_list

PATH = "/v1/timeline"
STATUS_PATH = "/v1/status"
TIMEOUT_S = 3.0
MAX_CONCURRENT = 64
"""Processes queried at the same time."""
FOLLOW_PERIOD_S = 1.0
MAX_DISCOVERY_ROUNDS = 4
"""Rounds of querying processes found in earlier responses."""


class ProcessTimeline(msgspec.Struct, frozen=True):
    """The events and members of a process, or why it did not respond."""

    node: NodeId
    events: tuple[StampedEvent, ...] = ()
    why: str = ""
    members: tuple[NodeId, ...] = ()


class _Member(msgspec.Struct, frozen=True):
    """A process in another process's membership."""

    id: NodeId


class _Status(msgspec.Struct, frozen=True):
    """The membership in the status of a process."""

    servers: tuple[_Member, ...] = ()
    balancers: tuple[_Member, ...] = ()


class Gatherer:
    """Reads the time lines of processes.

    It keeps the last stamp of each process, so that the next call of
    ``gather`` returns only new events.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._limiter = asyncio.Semaphore(MAX_CONCURRENT)
        self._last: dict[NodeId, Stamp] = {}

    async def gather(self, nodes: Iterable[NodeId]) -> MergedTimeline:
        """Read and merge the time lines of processes and those they know."""
        queried: set[NodeId] = set()
        timelines: list[ProcessTimeline] = []
        pending = set(nodes) | set(self._last)
        for _ in range(MAX_DISCOVERY_ROUNDS):
            if not pending:
                break
            queried |= pending
            tasks = [self._query(node) for node in sorted(pending)]
            round_timelines = await asyncio.gather(*tasks)
            timelines.extend(round_timelines)
            pending = _discovered(round_timelines) - queried
        events = merge(timeline.events for timeline in timelines)
        silent = [NoResponse(a.node, a.why) for a in timelines if a.why]
        answered = [a.node for a in timelines if not a.why]
        return MergedTimeline(events, tuple(silent), tuple(answered))

    async def _query(self, node: NodeId) -> ProcessTimeline:
        try:
            async with self._limiter:
                events = await self._read(node)
                members = await self._members(node)
        except (aiohttp.ClientError, msgspec.MsgspecError) as exc:
            return ProcessTimeline(node, why=str(exc) or type(exc).__name__)
        except TimeoutError:
            return ProcessTimeline(node, why="no response in time")
        if events:
            self._last[node] = events[-1].stamp
        return ProcessTimeline(node, tuple(events), members=members)

    async def _members(self, node: NodeId) -> tuple[NodeId, ...]:
        """Read the members that a process knows.

        :raises aiohttp.ClientError: if the request fails.
        :raises msgspec.MsgspecError: if the response is not a status.
        """
        async with self._session.get(
            f"http://{node}{STATUS_PATH}", timeout=self._timeout
        ) as resp:
            resp.raise_for_status()
            status = msgspec.json.decode(await resp.read(), type=_Status)
        return tuple(m.id for m in (*status.servers, *status.balancers))

    async def _read(self, node: NodeId) -> list[StampedEvent]:
        """Read the events of a process since its last stamp.

        :raises aiohttp.ClientError: if the request fails.
        :raises msgspec.MsgspecError: if the response is not a time line.
        """
        params: dict[str, str] = {}
        after = self._last.get(node)
        if after is not None:
            params["since"] = f"{after.ms}.{after.counter}"
        async with self._session.get(
            f"http://{node}{PATH}", params=params, timeout=self._timeout
        ) as resp:
            resp.raise_for_status()
            return decode_list(await resp.read())


@contextlib.asynccontextmanager
async def gatherer(timeout_s: float = TIMEOUT_S) -> AsyncIterator[Gatherer]:
    """Open a gatherer and close its session on exit."""
    async with aiohttp.ClientSession() as session:
        yield Gatherer(session, timeout_s)


async def gather_once(nodes: Iterable[NodeId]) -> MergedTimeline:
    """Read and merge the time lines once."""
    async with gatherer() as client:
        return await client.gather(nodes)


async def follow(nodes: Iterable[NodeId]) -> AsyncIterator[MergedTimeline]:
    """Read new events periodically and yield each merged result."""
    pending = tuple(nodes)
    async with gatherer() as client:
        while True:
            yield await client.gather(pending)
            await asyncio.sleep(FOLLOW_PERIOD_S)


def _discovered(round_timelines: Iterable[ProcessTimeline]) -> set[NodeId]:
    """Return the processes found in memberships and events."""
    servers = {
        NodeId(item.event.server)
        for timeline in round_timelines
        for item in timeline.events
        if item.event.server
    }
    return servers.union(*(timeline.members for timeline in round_timelines))
