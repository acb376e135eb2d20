"""A reducer composed of parts that publish events to one another."""

import collections
from collections.abc import Mapping
from typing import Any

from .effects import Publish
from .events import Reducer
from .events import Tick
from .ids import Seconds
from .members.balancer import PAUSE_S

MAX_EVENTS_PER_INPUT = 1000
"""Limit on the events processed for one input event."""


class CompositeReducer:
    """Dispatches each event, and each published event, to every part.

    ``routes`` maps an event type to the only part that handles it, so
    that a packet is not dispatched to all parts.
    """

    def __init__(
        self,
        parts: tuple[Reducer, ...],
        routes: Mapping[type, Reducer],
    ) -> None:
        self.parts = parts
        self._routes = {kind: (part,) for kind, part in routes.items()}
        self._last_event_at = Seconds(0.0)

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        """Process one event and return the effects of all parts.

        After a pause, all parts first process a tick and the events that
        it publishes. Otherwise events that were queued during the pause
        would be decided on outdated state.

        :raises RuntimeError: if parts publish to one another endlessly.
        """
        paused = now - self._last_event_at >= PAUSE_S
        self._last_event_at = now
        effects = self._process(now, Tick()) if paused else []
        return effects + self._process(now, event)

    def _process(self, now: Seconds, event: Any) -> list[Any]:
        effects: list[Any] = []
        queue = collections.deque([event])
        for _ in range(MAX_EVENTS_PER_INPUT):
            if not queue:
                return effects
            self._dispatch(now, queue.popleft(), queue, effects)
        raise RuntimeError(
            f"expected at most {MAX_EVENTS_PER_INPUT} events from one input "
            f"event, got more; check for parts that publish to each other "
            f"endlessly, starting from {event!r}"
        )

    def _dispatch(
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
