"""Reducers and servers that count or lose what reaches them."""

import random
from typing import Any

from medlar_core.effects import CallStore
from medlar_core.effects import Send
from medlar_core.events import Received
from medlar_core.events import Reducer
from medlar_core.ids import Seconds
from medlar_core.relay.messages import encode as encode_message
from medlar_core.relay.messages import Hello
from medlar_core.relay.messages import ScopeTold
from medlar_core.relay.segment import Segment
from medlar_fakes.relay import FakeServer


class UnresponsiveServer(FakeServer):
    """Answers nothing, as if all packets to it were lost."""

    def handle(self, segment: Segment) -> list[Segment]:
        return []


class CountingReducer:
    """Counts what reaches a reducer and what it sends.

    ``sent`` and ``received`` count messages, ``sent_bytes`` and
    ``received_bytes`` their size, ``named_reports`` the reports in hello
    messages received, ``scopes_told`` the scopes received, ``store_calls``
    calls to the store.
    """

    def __init__(self, reducer: Reducer) -> None:
        self.reducer = reducer
        self.sent = 0
        self.received = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.named_reports = 0
        self.scopes_told = 0
        self.store_calls = 0

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        if isinstance(event, Received):
            self.received += 1
            self.received_bytes += len(encode_message(event.msg))
            self.scopes_told += isinstance(event.msg, ScopeTold)
            if isinstance(event.msg, Hello):
                self.named_reports += len(event.msg.agents)
        effects = self.reducer.reduce(now, event)
        for effect in effects:
            if isinstance(effect, Send):
                self.sent += 1
                self.sent_bytes += len(encode_message(effect.msg))
            self.store_calls += isinstance(effect, CallStore)
        return effects


class WithoutHellos:
    """Loses the hello messages to a reducer."""

    def __init__(self, reducer: Reducer) -> None:
        self.reducer = reducer

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        if isinstance(event, Received) and isinstance(event.msg, Hello):
            return []
        return self.reducer.reduce(now, event)


class LossyReducer:
    """Loses a share of the messages to a reducer."""

    def __init__(
        self, reducer: Reducer, rng: random.Random, share: float
    ) -> None:
        self.reducer = reducer
        self._rng = rng
        self._share = share

    def reduce(self, now: Seconds, event: Any) -> list[Any]:
        if isinstance(event, Received) and self._rng.random() < self._share:
            return []
        return self.reducer.reduce(now, event)
