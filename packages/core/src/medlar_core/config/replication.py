"""Spreading of the configuration over all processes.

Few balancers watch the store. The others learn from peers: a process
with news tells its version, one that lacks it asks, and gets the change
or, where it is far behind, the parts that differ.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import msgspec

from ..effects import CallStore
from ..effects import Publish
from ..effects import Record
from ..effects import Send
from ..events import ConfigurationChanged
from ..events import Received
from ..events import StoreAnswered
from ..events import Tick
from ..events import ViewChanged
from ..ids import NodeId
from ..ids import Seconds
from ..ids import Version
from ..members.view import View
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from .assembly import Assembly
from .assembly import read_parts
from .bootstrap import Bootstrap
from .codec import decode_as
from .gossip import Gossip
from .gossip import Peers
from .gossip import peers_of
from .in_force import Candidate
from .in_force import ConfigInForce
from .messages import Delta
from .messages import Have
from .messages import Parts
from .messages import Shards
from .messages import Want
from .messages import WantShards
from .model import Configuration
from .problem import Problem
from .responder import PeerResponder
from .shards import apply_patch
from .shards import decompress_json
from .shards import Patch
from .store_watch import RefusedDocument
from .store_watch import StoreOutage
from .store_watch import StoreWatch
from .store_watch import WatchMode
from .watchers import is_watcher

ASK_AGAIN_S = 0.5
ASK_TIMES = 3
BOOTSTRAP_BALANCERS = 2
"""Balancers that a process without a configuration asks each round."""
VIEW_PERIOD_S = 1.0

Effect = Send | CallStore | Publish | Record
WatcherRule = Callable[[View, NodeId], bool]


class _News(msgspec.Struct, frozen=True):
    """A newer version that a peer told of, and how often to ask on."""

    src: NodeId
    version: Version
    times_left: int


class ConfigReplicator:
    """Keeps the newest accepted configuration in force here.

    Balancers and agents run it alike. ``seeds`` are asked until a view
    of the members is known; ``watcher_rule`` says who watches the store.
    ``refused`` counts documents that were not taken in force.
    """

    def __init__(
        self,
        node: NodeId,
        seeds: Iterable[NodeId],
        rng: random.Random,
        watcher_rule: WatcherRule = is_watcher,
    ) -> None:
        self.refused = 0
        self._node = node
        self._rng = rng
        self._rule = watcher_rule
        others = tuple(sorted(set(seeds) - {node}))
        self._seeds = Peers(others)
        self._held = ConfigInForce()
        self._gossip = Gossip(rng, self._seeds)
        self._store = StoreWatch(rng, self._held)
        self._join = Bootstrap(rng)
        self._assembly: Assembly | None = None
        self._parked: Delta | None = None
        self._news: _News | None = None
        self._watches = False
        self._view: View | None = None
        self._view_at = 0.0
        self._ask_at = 0.0
        self._serving = PeerResponder(self._held)

    @property
    def version(self) -> Version:
        """Return the version in force; 0 is none."""
        return self._held.version

    @property
    def cfg(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._held.tree.cfg if self._held.version else None

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Take one event and return the effects to carry out."""
        match event:
            case Tick():
                return self._tick(now)
            case Received(src=src, msg=msg):
                return self._received(now, src, msg)
            case StoreAnswered(call=call, answer=answer):
                calls = self._store.answered(now, call, answer)
                return [*calls, *self._from_store(now)]
            case ViewChanged(view=view):
                self._view = view
        return []

    def _tick(self, now: Seconds) -> list[Effect]:
        self._use_view(now)
        effects: list[Effect] = []
        effects += self._store.tick(now, self._duty(now))
        effects += self._from_store(now)
        if self.version:
            effects += self._gossip.tick(now, self._have())
        else:
            effects += self._seek(now)
        if self._assembly is not None:
            effects += self._gather(now, self._assembly)
        elif self._news is not None:
            effects += self._ask_again(now, self._news)
        return effects

    def _ask_again(self, now: Seconds, news: "_News") -> list[Effect]:
        """Ask once more for news whose answer may have been lost."""
        if news.version <= self.version or not news.times_left:
            self._news = None
            return []
        sends = self._ask(now, news.src, Want(self.version))
        if sends:
            left = news.times_left - 1
            self._news = msgspec.structs.replace(news, times_left=left)
        return sends

    def _use_view(self, now: Seconds) -> None:
        """Use the newest view; in a burst of changes only now and then."""
        if self._view is None or now < self._view_at:
            return
        self._watches = self._rule(self._view, self._node)
        self._gossip.peers = peers_of(self._view, self._seeds, self._node)
        self._view = None
        self._view_at = now + VIEW_PERIOD_S

    def _duty(self, now: Seconds) -> WatchMode:
        if self._watches:
            return WatchMode.WATCH
        if not self.version and self._join.alone(now):
            return WatchMode.READ
        return WatchMode.NONE

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        match msg:
            case Have():
                return self._told(now, src, msg)
            case Want():
                return [*self._serving.change(now, src, msg)]
            case Delta():
                return self._take_delta(now, src, msg)
            case Parts():
                return self._take_parts(now, src, msg)
            case WantShards():
                return self._serve_shards(now, src, msg)
            case Shards():
                return self._take_shards(now, msg)
        return []

    # What peers tell and ask

    def _have(self) -> Have:
        gathers = self._assembly.target.root if self._assembly else b""
        return Have(self._held.version, self._held.root, gathers)

    def _told(self, now: Seconds, src: NodeId, have: Have) -> list[Effect]:
        if not self.version:
            self._join.heard(src, have)
        gathered = self._assembly
        if gathered and gathered.target.root in (have.root, have.gathers):
            gathered.add_peer(src)
            return []
        if not self.version:
            return self._choose(now)
        if have.version > self.version:
            self._news = _News(src, have.version, ASK_TIMES)
            return self._ask(now, src, Want(self.version))
        if have.version < self.version:
            return [Send(src, self._have())]
        if have.root != self._held.root:
            why = Problem(
                f"version {have.version} at {src}",
                f"root {have.root.hex()}",
                self._held.root.hex(),
            )
            return self._refuse(why)
        return []

    def _ask(self, now: Seconds, src: NodeId, want: Want) -> list[Effect]:
        if now < self._ask_at:
            return []
        self._ask_at = now + ASK_AGAIN_S
        return [Send(src, want)]

    def _serve_shards(
        self, now: Seconds, src: NodeId, want: WantShards
    ) -> list[Effect]:
        found = self._serving.shards_of(want, self._assembly)
        if found:
            return [*self._serving.shards(now, src, want, found)]
        return [Send(src, self._have())] if self.version else []

    # What peers send

    def _take_delta(
        self, now: Seconds, src: NodeId, msg: Delta
    ) -> list[Effect]:
        if msg.version <= self.version:
            return []
        if msg.base != self.version:
            self._park(msg)
            return self._ask(now, src, Want(self.version))
        raw = decompress_json(msg.body)
        patch = raw if isinstance(raw, Problem) else decode_as(raw, Patch)
        if isinstance(patch, Problem):
            return self._refuse(patch)
        tree = apply_patch(self._held.tree, patch)
        if tree.root != msg.root:
            # The base differs in what lies between: take the parts.
            self._ask_at = now + ASK_AGAIN_S
            return [Send(src, Want(self.version, whole=True))]
        return self._offer(
            now, Candidate(tree, msg.version, msg.change), f"peer {src}"
        )

    def _park(self, msg: Delta) -> None:
        """Keep the newest change whose base has yet to come."""
        parked = self._parked
        if parked is None or parked.version < msg.version:
            self._parked = msg

    def _unpark(self, now: Seconds) -> list[Effect]:
        msg = self._parked
        if msg is None or msg.base > self.version:
            return []
        self._parked = None
        if msg.base < self.version:
            return []
        return self._take_delta(now, self._node, msg)

    def _take_parts(
        self, now: Seconds, src: NodeId, msg: Parts
    ) -> list[Effect]:
        if msg.version <= self.version:
            return []
        target = read_parts(msg)
        if isinstance(target, Problem):
            return self._refuse(target)
        current = self._assembly
        if current is None or current.target.version < msg.version:
            current = Assembly(now, target, self._held.tree)
            self._assembly = current
        if current.target.root == target.root:
            current.add_peer(src)
        return self._gather(now, current)

    def _take_shards(self, now: Seconds, msg: Shards) -> list[Effect]:
        if self._assembly is None:
            return []
        problem = self._assembly.take(now, msg)
        if problem is not None:
            return self._refuse(problem)
        return self._gather(now, self._assembly)

    def _gather(self, now: Seconds, assembly: Assembly) -> list[Effect]:
        done = assembly.whole()
        if done is not None:
            self._assembly = None
            said = f"{len(assembly.peers)} peers"
            return self._offer(now, done, said)
        if assembly.stale(now):
            self._assembly = None
            return []
        return [*assembly.ask(now, self._rng, self._join.hurry)]

    # Without a configuration

    def _seek(self, now: Seconds) -> list[Effect]:
        if not self._join.due(now):
            return []
        known = self._gossip.peers
        # Balancers tell best whether the whole fleet starts.
        peers = dict.fromkeys(
            (
                *known.some_balancers(self._rng, BOOTSTRAP_BALANCERS),
                *known.some(self._rng, self._join.fanout),
            )
        )
        have = self._have()
        return [*(Send(peer, have) for peer in peers), *self._choose(now)]

    def _choose(self, now: Seconds) -> list[Effect]:
        choice = self._join.choice(now)
        if choice is None or self._assembly is not None:
            return []
        return self._ask(now, choice.peer, Want(Version(0)))

    # Taking in force

    def _from_store(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        for found in self._store.learned():
            match found:
                case Candidate():
                    effects += self._offer(now, found, "the store")
                case RefusedDocument(why=why):
                    effects += self._refuse(why)
                case StoreOutage(why=why):
                    text = f"store does not answer: {why}"
                    effects.append(self._alert(text, "store-down"))
        return effects

    def _offer(
        self, now: Seconds, new: Candidate, source: str
    ) -> list[Effect]:
        first = not self.version
        problem = self._held.offer(new)
        if problem is not None:
            return self._refuse(problem)
        if self._held.tree is not new.tree:
            return []
        self._gossip.heat(now)
        text = f"version {new.version} in force, from {source}"
        if first:
            text += f"; {self._join.answers} peers told their version"
        event = TimelineEvent(
            Topic.CONFIGURATION,
            f"{text}; change {new.change}",
            version=new.version,
        )
        changed = ConfigurationChanged(new.tree.cfg, new.version)
        self._forget_older()
        return [Publish(changed), Record(event), *self._unpark(now)]

    def _forget_older(self) -> None:
        gathered = self._assembly
        if gathered and gathered.target.version <= self.version:
            self._assembly = None

    def _refuse(self, why: Problem) -> list[Effect]:
        self.refused += 1
        text = f"document refused, the last good stays: {why.text}"
        return [self._alert(text, "document-refused")]

    def _alert(self, text: str, reason: str) -> Record:
        return Record(
            TimelineEvent(
                Topic.CONFIGURATION, text, reason=reason, version=self.version
            )
        )
