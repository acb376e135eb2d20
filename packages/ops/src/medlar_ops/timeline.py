"""Gathers the time lines of processes over HTTP and follows them."""

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
AT_ONCE = 64
"""Processes asked at the same time."""
FOLLOW_PERIOD_S = 1.0
ROUNDS = 4
"""Rounds of asking processes that earlier answers named."""


class Heard(msgspec.Struct, frozen=True):
    """What one process answered, or why it did not."""

    node: NodeId
    events: tuple[StampedEvent, ...] = ()
    why: str = ""
    members: tuple[NodeId, ...] = ()


class _Member(msgspec.Struct, frozen=True):
    """A process that another one knows."""

    id: NodeId


class _Status(msgspec.Struct, frozen=True):
    """The part of a process's status that tells whom it knows."""

    servers: tuple[_Member, ...] = ()
    balancers: tuple[_Member, ...] = ()


class Gatherer:
    """Asks processes for their time lines.

    It remembers the last stamp of each process, so that a later round
    brings only what is new.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._slots = asyncio.Semaphore(AT_ONCE)
        self._last: dict[NodeId, Stamp] = {}

    async def gather(self, nodes: Iterable[NodeId]) -> MergedTimeline:
        """Ask processes, and those that their events name, and merge."""
        asked: set[NodeId] = set()
        heard: list[Heard] = []
        wanted = set(nodes) | set(self._last)
        for _ in range(ROUNDS):
            if not wanted:
                break
            asked |= wanted
            tasks = [self._ask(node) for node in sorted(wanted)]
            answers = await asyncio.gather(*tasks)
            heard.extend(answers)
            wanted = _named(answers) - asked
        events = merge(answer.events for answer in heard)
        silent = [NoResponse(a.node, a.why) for a in heard if a.why]
        answered = [a.node for a in heard if not a.why]
        return MergedTimeline(events, tuple(silent), tuple(answered))

    async def _ask(self, node: NodeId) -> Heard:
        try:
            async with self._slots:
                events = await self._read(node)
                members = await self._members(node)
        except (aiohttp.ClientError, msgspec.MsgspecError) as exc:
            return Heard(node, why=str(exc) or type(exc).__name__)
        except TimeoutError:
            return Heard(node, why="no answer in time")
        if events:
            self._last[node] = events[-1].stamp
        return Heard(node, tuple(events), members=members)

    async def _members(self, node: NodeId) -> tuple[NodeId, ...]:
        """Ask a process whom it knows.

        :raises aiohttp.ClientError: if the process cannot be asked.
        :raises msgspec.MsgspecError: if its answer is no status.
        """
        async with self._session.get(
            f"http://{node}{STATUS_PATH}", timeout=self._timeout
        ) as resp:
            resp.raise_for_status()
            status = msgspec.json.decode(await resp.read(), type=_Status)
        return tuple(m.id for m in (*status.servers, *status.balancers))

    async def _read(self, node: NodeId) -> list[StampedEvent]:
        """Read the events of a process that are new to this tool.

        :raises aiohttp.ClientError: if the process cannot be asked.
        :raises msgspec.MsgspecError: if its answer is no time line.
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
    """Open a session for gathering and close it at the end."""
    async with aiohttp.ClientSession() as session:
        yield Gatherer(session, timeout_s)


async def gather_once(nodes: Iterable[NodeId]) -> MergedTimeline:
    """Gather the whole time line once."""
    async with gatherer() as asking:
        return await asking.gather(nodes)


async def follow(nodes: Iterable[NodeId]) -> AsyncIterator[MergedTimeline]:
    """Gather again and again, each time only what is new."""
    wanted = tuple(nodes)
    async with gatherer() as asking:
        while True:
            yield await asking.gather(wanted)
            await asyncio.sleep(FOLLOW_PERIOD_S)


def _named(answers: Iterable[Heard]) -> set[NodeId]:
    """Return the processes that members or events name."""
    told = {
        NodeId(item.event.server)
        for answer in answers
        for item in answer.events
        if item.event.server
    }
    return told.union(*(answer.members for answer in answers))
