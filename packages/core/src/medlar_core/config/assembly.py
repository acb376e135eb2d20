"""Gathering the parts of a version from several peers."""

import random

import msgspec

from ..effects import Send
from ..ids import ChangeId
from ..ids import NodeId
from ..ids import Seconds
from ..ids import Version
from .codec import decode_as
from .in_force import Candidate
from .messages import Parts
from .messages import Shards
from .messages import WantShards
from .problem import Problem
from .shards import assemble
from .shards import decode_shard
from .shards import decompress_json
from .shards import Digest
from .shards import DIGEST_BYTES
from .shards import EMPTY_TREE
from .shards import root_of
from .shards import Shard
from .shards import SHARDS
from .shards import Tree

BATCH = 8
"""Shards asked of one peer at a time."""
STEADY_BYTES_PER_S = 3000.0
STARTUP_BYTES_PER_S = 16_000.0
"""The pace while the whole fleet starts and little else is sent."""
TEXT_SHARE = 4 / 3
"""Bytes on the wire for each byte of a body, as base64."""
AGAIN_S = 0.5
GIVE_UP_S = 60.0


class Target(msgspec.Struct, frozen=True):
    """The version that is gathered."""

    version: Version
    root: Digest
    change: ChangeId
    digests: tuple[Digest, ...]


def read_parts(msg: Parts) -> Target | Problem:
    """Return the target in a message, or why it is refused."""
    size = DIGEST_BYTES
    raw = msg.digests
    if len(raw) != size * SHARDS:
        return Problem("digests", f"{len(raw)} bytes", str(size * SHARDS))
    digests = tuple(raw[i : i + size] for i in range(0, len(raw), size))
    if root_of(digests) != msg.root:
        return Problem("digests", "digests of another root", msg.root.hex())
    return Target(msg.version, msg.root, msg.change, digests)


_Texts = tuple[str, ...]


class Assembly:
    """Shards of one target; whole only when every one is here."""

    def __init__(self, now: Seconds, target: Target, known: Tree) -> None:
        self.target = target
        self.peers: list[NodeId] = []
        self._heard_at = now
        self._shards: dict[int, Shard] = {}
        self._waits_until: float = now
        self._paid_at = now
        self._debt = 0.0
        for i, named in enumerate(target.digests):
            for held in (known, EMPTY_TREE):
                if held.digests[i] == named:
                    self._shards[i] = held.shards[i]

    def add_peer(self, peer: NodeId) -> None:
        """Remember a peer that holds the target."""
        if peer not in self.peers:
            self.peers.append(peer)

    def shard(self, index: int) -> Shard | None:
        """Return a shard of the target that is here already."""
        return self._shards.get(index)

    def stale(self, now: Seconds) -> bool:
        """Return whether nothing has come for long."""
        return now - self._heard_at > GIVE_UP_S

    def take(self, now: Seconds, msg: Shards) -> Problem | None:
        """Take shards of the target; others change nothing."""
        if msg.root != self.target.root:
            return None
        raw = decompress_json(msg.body)
        texts = raw if isinstance(raw, Problem) else decode_as(raw, _Texts)
        if isinstance(texts, Problem):
            return texts
        for i, text in zip(msg.indices, texts, strict=False):
            if not 0 <= i < SHARDS:
                return Problem("indices", str(i), f"under {SHARDS}")
            shard = decode_shard(text, self.target.digests[i])
            if isinstance(shard, Problem):
                return shard
            self._shards[i] = shard
        self._debt += len(msg.body) * TEXT_SHARE
        self._waits_until = now
        self._heard_at = now
        return None

    def ask(self, now: Seconds, rng: random.Random, hurry: bool) -> list[Send]:
        """Ask a peer for shards that are missing, at a bounded pace."""
        pace = STARTUP_BYTES_PER_S if hurry else STEADY_BYTES_PER_S
        self._debt = max(0.0, self._debt - (now - self._paid_at) * pace)
        self._paid_at = now
        if self._debt or now < self._waits_until:
            return []
        missing = [i for i in range(SHARDS) if i not in self._shards]
        self._waits_until = now + AGAIN_S
        peer = rng.choice(self.peers)
        # Peers that gather too hold other shards than this process.
        batch = tuple(rng.sample(missing, min(BATCH, len(missing))))
        return [Send(peer, WantShards(self.target.root, batch))]

    def whole(self) -> Candidate | None:
        """Return the configuration once every shard is here."""
        if len(self._shards) < SHARDS:
            return None
        shards = tuple(self._shards[i] for i in range(SHARDS))
        tree = assemble(shards, self.target.digests)
        return Candidate(tree, self.target.version, self.target.change)
