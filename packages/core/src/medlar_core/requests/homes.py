"""Which agent answers for an idempotency key, now and lately."""

import msgspec
import xxhash

from ..ids import IdempotencyKey
from ..ids import NodeId
from ..ids import ServiceName
from ..members.view import Server
from ..members.view import ServerState
from ..members.view import View
from .events import Go

Homes = tuple[Go, ...]


def candidates(view: View, service: ServiceName) -> Homes:
    """Return the processes that may be home to keys of a service.

    Servers that warm up count only while few others are ready, so that
    a cold server is not sent work that has no other place to go.
    """
    found = [s for s in view.servers if s.service == service]
    ready = [s for s in found if s.state is ServerState.READY]
    warming = [s for s in found if s.state is ServerState.WARMING]
    chosen = ready if len(ready) >= len(warming) else ready + warming
    return tuple(as_go(s) for s in sorted(chosen, key=lambda s: s.id))


def as_go(server: Server) -> Go:
    """Return the process of a server's agent."""
    return Go(server.id, server.incarnation)


def home_of(
    key: IdempotencyKey, homes: Homes, without: NodeId | None = None
) -> Go | None:
    """Return the home of a key by rendezvous hash, None if there is none."""
    data = key.encode()
    best = None
    best_score = -1
    for home in homes:
        if home.node == without:
            continue
        seed = xxhash.xxh3_64_intdigest(home.node.encode())
        score = xxhash.xxh3_64_intdigest(data, seed)
        if score > best_score:
            best = home
            best_score = score
    return best


def same(one: Go, other: Go) -> bool:
    """Return whether two name the same process."""
    return (one.node, one.incarnation) == (other.node, other.incarnation)


class _Epoch(msgspec.Struct, frozen=True):
    """Candidates from a time on, until the next epoch."""

    since: float
    homes: Homes


class History:
    """Candidates of the last while, to find earlier homes of a key.

    ``keep_s`` is the longest window that is ever asked for.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self._epochs: list[_Epoch] = []

    @property
    def homes(self) -> Homes:
        """The candidates now."""
        return self._epochs[-1].homes if self._epochs else ()

    def note(self, now: float, homes: Homes) -> None:
        """Note the candidates from now on."""
        if self._epochs and self._epochs[-1].homes == homes:
            return
        self._epochs.append(_Epoch(now, homes))
        while len(self._epochs) > 1 and self._ended(1, now - self.keep_s):
            del self._epochs[0]

    def restart(self, now: float) -> None:
        """Forget all but the candidates now: the process was paused."""
        self._epochs = [_Epoch(now, self.homes)]

    def covers(self, now: float, window_s: float) -> bool:
        """Return whether the history spans a window that ends now."""
        return bool(self._epochs) and self._ended(0, now - window_s)

    def earlier(
        self, now: float, key: IdempotencyKey, window_s: float
    ) -> Homes:
        """Return each home that a key had in a window that ends now."""
        last = len(self._epochs) - 1
        found: list[Go] = []
        for at, epoch in enumerate(self._epochs):
            if at < last and self._ended(at + 1, now - window_s):
                continue
            home = home_of(key, epoch.homes)
            if home is not None and home not in found:
                found.append(home)
        return tuple(found)

    def _ended(self, at: int, when: float) -> bool:
        return self._epochs[at].since <= when
