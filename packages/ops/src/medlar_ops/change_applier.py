"""Executes the effects of a ConfigWriter."""

import asyncio
from collections.abc import Coroutine
import random
import time
from typing import Any

from medlar_core.config.messages import Delta
from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Change
from medlar_core.config.outcome import Outcome
from medlar_core.config.writer import ConfigWriter
from medlar_core.config.writer import Effect
from medlar_core.config.writer import Finished
from medlar_core.effects import CallStore
from medlar_core.effects import Send
from medlar_core.events import StoreAnswered
from medlar_core.events import Tick
from medlar_core.ids import NodeId
from medlar_core.ids import Seconds

from .processes import Processes
from .store_client import StoreClient

TICK_S = 0.05


class ChangeApplier:
    """Applies one change; ``handover`` is the message sent to nodes."""

    def __init__(
        self,
        store: StoreClient,
        fleet: Processes,
        change: Change,
        cfg: Configuration,
        nodes: tuple[NodeId, ...],
        limit_s: float,
    ) -> None:
        self.handover: Delta | None = None
        self._store = store
        self._fleet = fleet
        rng = random.Random()
        self._writer = ConfigWriter(change, cfg, rng, nodes, limit_s)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> Outcome:
        """Apply the change and return its outcome."""
        while self._writer.outcome is None:
            self._process(Tick())
            await asyncio.sleep(TICK_S)
        for task in [t for t in self._tasks if t.get_name() == "call"]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self._writer.outcome

    def _process(self, event: Tick | StoreAnswered) -> None:
        now = Seconds(time.monotonic())
        for effect in self._writer.reduce(now, event):
            self._execute(effect)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case CallStore():
                self._spawn("call", self._call(effect))
            case Send(dst=dst, msg=msg):
                self.handover = msg
                self._spawn("send", self._fleet.send(dst, msg))
            case Finished():
                pass

    async def _call(self, effect: CallStore) -> None:
        answer = await self._store.call(effect.op)
        self._process(StoreAnswered(effect.call, answer))

    def _spawn(self, name: str, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
