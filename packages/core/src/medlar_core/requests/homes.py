"""Home agent of an idempotency key, now and in a recent window."""

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
    """Return the processes that may be the home of a service's keys.

    Warming servers count only while fewer servers are ready, so that a
    cold server does not get work that cannot run elsewhere.
    """
    found = [s for s in view.servers if s.service == service]
    ready = [s for s in found if s.state is ServerState.READY]
    warming = [s for s in found if s.state is ServerState.WARMING]
    chosen = ready if len(ready) >= len(warming) else ready + warming
    return tuple(as_go(s) for s in sorted(chosen, key=lambda s: s.id))


def as_go(server: Server) -> Go:
    """Return the agent process of a server."""
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


def same_process(one: Go, other: Go) -> bool:
    """Return whether both are the same process, ceded or not."""
    return (one.node, one.incarnation) == (other.node, other.incarnation)


class _Epoch(msgspec.Struct, frozen=True):
    """Candidates from ``since`` until the next epoch."""

    since: float
    homes: Homes


class HomeHistory:
    """Recent candidates, to find earlier homes of a key.

    ``keep_s`` is the longest window that can be queried.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self._epochs: list[_Epoch] = []

    @property
    def homes(self) -> Homes:
        """The current candidates."""
        return self._epochs[-1].homes if self._epochs else ()

    def note(self, now: float, homes: Homes) -> None:
        """Record the candidates from ``now`` on."""
        if self._epochs and self._epochs[-1].homes == homes:
            return
        self._epochs.append(_Epoch(now, homes))
        while len(self._epochs) > 1 and self._started_by(1, now - self.keep_s):
            del self._epochs[0]

    def restart(self, now: float) -> None:
        """Discard history after a pause; keep the current candidates."""
        self._epochs = [_Epoch(now, self.homes)]

    def covers(self, now: float, window_s: float) -> bool:
        """Return whether the history spans a window that ends now."""
        return bool(self._epochs) and self._started_by(0, now - window_s)

    def earlier(
        self, now: float, key: IdempotencyKey, window_s: float
    ) -> Homes:
        """Return every home of a key in a window that ends now."""
        last = len(self._epochs) - 1
        found: list[Go] = []
        for at, epoch in enumerate(self._epochs):
            if at < last and self._started_by(at + 1, now - window_s):
                continue
            home = home_of(key, epoch.homes)
            if home is not None and home not in found:
                found.append(home)
        return tuple(found)

    def _started_by(self, at: int, when: float) -> bool:
        return self._epochs[at].since <= when
