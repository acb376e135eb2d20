"""Replication of the configuration to all processes.

Only a few balancers watch the store. The other processes learn from
peers: a process with a newer version sends its version number, and a peer
with an older one requests the update. The response is a delta or, if the
peer is far behind, the shard digests, and the peer then requests the
shards that differ.
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

REQUEST_INTERVAL_S = 0.5
REQUEST_RETRIES = 3
BOOTSTRAP_BALANCERS = 2
"""Balancers that a process without a configuration asks in a round."""
VIEW_PERIOD_S = 1.0

Effect = Send | CallStore | Publish | Record
WatcherRule = Callable[[View, NodeId], bool]


class _NewerVersion(msgspec.Struct, frozen=True):
    """A newer version that a peer reported, and the retries left for it."""

    src: NodeId
    version: Version
    retries_left: int


class ConfigReplicator:
    """Keeps the newest accepted configuration in force in this process.

    Runs in balancers and agents. ``seeds`` are the peers until a view of
    the members is known; ``watcher_rule`` decides which processes watch
    the store. ``refused`` counts documents that were not put in force.
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
        self._watcher_rule = watcher_rule
        others = tuple(sorted(set(seeds) - {node}))
        self._seeds = Peers(others)
        self._current = ConfigInForce()
        self._gossip = Gossip(rng, self._seeds)
        self._store = StoreWatch(rng, self._current)
        self._bootstrap = Bootstrap(rng)
        self._assembly: Assembly | None = None
        self._pending_delta: Delta | None = None
        self._newer: _NewerVersion | None = None
        self._is_watcher = False
        self._view: View | None = None
        self._next_view_at = 0.0
        self._next_request_at = 0.0
        self._responder = PeerResponder(self._current)

    @property
    def version(self) -> Version:
        """Return the version in force; 0 if there is none."""
        return self._current.version

    @property
    def cfg(self) -> Configuration | None:
        """Return the configuration in force, or None."""
        return self._current.tree.cfg if self._current.version else None

    def reduce(self, now: Seconds, event: Any) -> list[Effect]:
        """Process one event and return the effects to carry out."""
        match event:
            case Tick():
                return self._tick(now)
            case Received(src=src, msg=msg):
                return self._received(now, src, msg)
            case StoreAnswered(call=call, answer=answer):
                calls = self._store.answered(now, call, answer)
                return [*calls, *self._apply_store_updates(now)]
            case ViewChanged(view=view):
                self._view = view
        return []

    def _tick(self, now: Seconds) -> list[Effect]:
        self._use_view(now)
        effects: list[Effect] = []
        effects += self._store.tick(now, self._watch_mode(now))
        effects += self._apply_store_updates(now)
        if self.version:
            effects += self._gossip.tick(now, self._have())
        else:
            effects += self._request_versions(now)
        if self._assembly is not None:
            effects += self._continue_assembly(now, self._assembly)
        elif self._newer is not None:
            effects += self._retry_request(now, self._newer)
        return effects

    def _retry_request(
        self, now: Seconds, newer: "_NewerVersion"
    ) -> list[Effect]:
        """Repeat the request for a newer version: its reply may be lost."""
        if newer.version <= self.version or not newer.retries_left:
            self._newer = None
            return []
        sends = self._request(now, newer.src, Want(self.version))
        if sends:
            retries_left = newer.retries_left - 1
            self._newer = msgspec.structs.replace(
                newer, retries_left=retries_left
            )
        return sends

    def _use_view(self, now: Seconds) -> None:
        """Use the newest view, at most once in ``VIEW_PERIOD_S``."""
        if self._view is None or now < self._next_view_at:
            return
        self._is_watcher = self._watcher_rule(self._view, self._node)
        self._gossip.peers = peers_of(self._view, self._seeds, self._node)
        self._view = None
        self._next_view_at = now + VIEW_PERIOD_S

    def _watch_mode(self, now: Seconds) -> WatchMode:
        if self._is_watcher:
            return WatchMode.WATCH
        if not self.version and self._bootstrap.no_responses(now):
            return WatchMode.READ
        return WatchMode.NONE

    def _received(self, now: Seconds, src: NodeId, msg: Any) -> list[Effect]:
        match msg:
            case Have():
                return self._on_have(now, src, msg)
            case Want():
                return [*self._responder.update(now, src, msg)]
            case Delta():
                return self._on_delta(now, src, msg)
            case Parts():
                return self._on_parts(now, src, msg)
            case WantShards():
                return self._on_want_shards(now, src, msg)
            case Shards():
                return self._on_shards(now, msg)
        return []

    # Versions and requests of peers

    def _have(self) -> Have:
        gathers = self._assembly.target.root if self._assembly else b""
        return Have(self._current.version, self._current.root, gathers)

    def _on_have(self, now: Seconds, src: NodeId, have: Have) -> list[Effect]:
        if not self.version:
            self._bootstrap.add_response(src, have)
        assembly = self._assembly
        if assembly and assembly.target.root in (have.root, have.gathers):
            assembly.add_peer(src)
            return []
        if not self.version:
            return self._request_newest(now)
        if have.version > self.version:
            self._newer = _NewerVersion(src, have.version, REQUEST_RETRIES)
            return self._request(now, src, Want(self.version))
        if have.version < self.version:
            return [Send(src, self._have())]
        if have.root != self._current.root:
            problem = Problem(
                f"version {have.version} at {src}",
                f"root {have.root.hex()}",
                self._current.root.hex(),
            )
            return self._refuse(problem)
        return []

    def _request(self, now: Seconds, src: NodeId, want: Want) -> list[Effect]:
        if now < self._next_request_at:
            return []
        self._next_request_at = now + REQUEST_INTERVAL_S
        return [Send(src, want)]

    def _on_want_shards(
        self, now: Seconds, src: NodeId, want: WantShards
    ) -> list[Effect]:
        found = self._responder.find_shards(want, self._assembly)
        if found:
            return [*self._responder.shards(now, src, want, found)]
        return [Send(src, self._have())] if self.version else []

    # Documents of peers

    def _on_delta(self, now: Seconds, src: NodeId, msg: Delta) -> list[Effect]:
        if msg.version <= self.version:
            return []
        if msg.base != self.version:
            self._keep_pending(msg)
            return self._request(now, src, Want(self.version))
        raw = decompress_json(msg.body)
        patch = raw if isinstance(raw, Problem) else decode_as(raw, Patch)
        if isinstance(patch, Problem):
            return self._refuse(patch)
        tree = apply_patch(self._current.tree, patch)
        if tree.root != msg.root:
            # The base differs from the peer's: request the shards.
            self._next_request_at = now + REQUEST_INTERVAL_S
            return [Send(src, Want(self.version, whole=True))]
        return self._put_in_force(
            now, Candidate(tree, msg.version, msg.change), f"peer {src}"
        )

    def _keep_pending(self, msg: Delta) -> None:
        """Keep the newest delta whose base version is not in force yet."""
        pending = self._pending_delta
        if pending is None or pending.version < msg.version:
            self._pending_delta = msg

    def _apply_pending(self, now: Seconds) -> list[Effect]:
        msg = self._pending_delta
        if msg is None or msg.base > self.version:
            return []
        self._pending_delta = None
        if msg.base < self.version:
            return []
        return self._on_delta(now, self._node, msg)

    def _on_parts(self, now: Seconds, src: NodeId, msg: Parts) -> list[Effect]:
        if msg.version <= self.version:
            return []
        target = read_parts(msg)
        if isinstance(target, Problem):
            return self._refuse(target)
        current = self._assembly
        if current is None or current.target.version < msg.version:
            current = Assembly(now, target, self._current.tree)
            self._assembly = current
        if current.target.root == target.root:
            current.add_peer(src)
        return self._continue_assembly(now, current)

    def _on_shards(self, now: Seconds, msg: Shards) -> list[Effect]:
        if self._assembly is None:
            return []
        problem = self._assembly.add_shards(now, msg)
        if problem is not None:
            return self._refuse(problem)
        return self._continue_assembly(now, self._assembly)

    def _continue_assembly(
        self, now: Seconds, assembly: Assembly
    ) -> list[Effect]:
        candidate = assembly.result()
        if candidate is not None:
            self._assembly = None
            source = f"{len(assembly.peers)} peers"
            return self._put_in_force(now, candidate, source)
        if assembly.stale(now):
            self._assembly = None
            return []
        return [
            *assembly.request_shards(
                now, self._rng, self._bootstrap.fleet_starting
            )
        ]

    # Without a configuration

    def _request_versions(self, now: Seconds) -> list[Effect]:
        if not self._bootstrap.due(now):
            return []
        known = self._gossip.peers
        # Balancers are always among the peers asked: among many agents a
        # process might not notice that the whole fleet starts.
        peers = dict.fromkeys(
            (
                *known.sample_balancers(self._rng, BOOTSTRAP_BALANCERS),
                *known.sample(self._rng, self._bootstrap.fanout),
            )
        )
        have = self._have()
        return [
            *(Send(peer, have) for peer in peers),
            *self._request_newest(now),
        ]

    def _request_newest(self, now: Seconds) -> list[Effect]:
        choice = self._bootstrap.choice(now)
        if choice is None or self._assembly is not None:
            return []
        return self._request(now, choice.peer, Want(Version(0)))

    # Putting documents in force

    def _apply_store_updates(self, now: Seconds) -> list[Effect]:
        effects: list[Effect] = []
        for found in self._store.take_updates():
            match found:
                case Candidate():
                    effects += self._put_in_force(now, found, "the store")
                case RefusedDocument(why=problem):
                    effects += self._refuse(problem)
                case StoreOutage(why=why):
                    text = f"store unavailable: {why}"
                    effects.append(self._alert(text, "store-down"))
        return effects

    def _put_in_force(
        self, now: Seconds, new: Candidate, source: str
    ) -> list[Effect]:
        first = not self.version
        problem = self._current.replace(new)
        if problem is not None:
            return self._refuse(problem)
        if self._current.tree is not new.tree:
            return []
        self._gossip.start_burst(now)
        text = f"version {new.version} in force, from {source}"
        if first:
            text += (
                f"; {self._bootstrap.responses} peers reported their version"
            )
        event = TimelineEvent(
            Topic.CONFIGURATION,
            f"{text}; change {new.change}",
            version=new.version,
        )
        changed = ConfigurationChanged(new.tree.cfg, new.version)
        self._drop_old_assembly()
        return [Publish(changed), Record(event), *self._apply_pending(now)]

    def _drop_old_assembly(self) -> None:
        assembly = self._assembly
        if assembly and assembly.target.version <= self.version:
            self._assembly = None

    def _refuse(self, problem: Problem) -> list[Effect]:
        self.refused += 1
        text = f"document refused, the previous version stays: {problem.text}"
        return [self._alert(text, "document-refused")]

    def _alert(self, text: str, reason: str) -> Record:
        return Record(
            TimelineEvent(
                Topic.CONFIGURATION, text, reason=reason, version=self.version
            )
        )
