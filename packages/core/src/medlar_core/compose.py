"""One reducer made of parts that publish events to one another."""

import collections
from collections.abc import Mapping
from typing import Any

from .effects import Publish
from .events import Reducer
from .events import Tick
from .ids import Seconds
from .members.balancer import PAUSE_S

PUBLISH_LIMIT = 1000
"""Most events that one event may set off inside a process."""


class CompositeReducer:
    """Hands each event to every part, and their published events too.

    ``routes`` names the one part for event types that only it takes, so
    that a packet does not pass through all parts.
    """

    def __init__(
        self,
        parts: tuple[Reducer, ...],
        routes: Mapping[type, Reducer],
    ) -> None:
        self.parts = parts
        self._routes = {kind: (part,) for kind, part in routes.items()}
        self._last = Seconds(0.0)

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Take one event and return the effects of all parts.

        After a pause all parts take a tick first, with all that it
        publishes: whatever waited meanwhile must not be decided by what
        was known before.

        :raises RuntimeError: if parts publish to one another for ever.
        """
        paused = now - self._last >= PAUSE_S
        self._last = now
        first = self._take(now, Tick()) if paused else []
        return first + self._take(now, event)

    def _take(self, now: Seconds, event: Any) -> list[Any]:
        effects: list[Any] = []
        queue = collections.deque([event])
        for _ in range(PUBLISH_LIMIT):
            if not queue:
                return effects
            self._step(now, queue.popleft(), queue, effects)
        raise RuntimeError(
            f"expected at most {PUBLISH_LIMIT} published events, got more: "
            f"look for parts that answer each other, first {event!r}"
        )

    def _step(
        self,
        now: Seconds,
        event: Any,
        queue: collections.deque[Any],
        effects: list[Any],
    ) -> None:
        for part in self._routes.get(type(event), self.parts):
            for effect in part.reduce(now, event):
                if isinstance(effect, Publish):
                    queue.append(effect.event)
                else:
                    effects.append(effect)
