"""Assembly of a version from shards that several peers send."""

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

BATCH_SHARDS = 8
"""Most shards in one request."""
STEADY_BYTES_PER_S = 3000.0
STARTUP_BYTES_PER_S = 16_000.0
"""The rate while the whole fleet starts and there is little other traffic."""
BASE64_RATIO = 4 / 3
"""Bytes on the wire per byte of a body, which is sent as base64."""
REQUEST_TIMEOUT_S = 0.5
STALE_AFTER_S = 60.0


class Target(msgspec.Struct, frozen=True):
    """The version that is assembled."""

    version: Version
    root: Digest
    change: ChangeId
    digests: tuple[Digest, ...]


def read_parts(msg: Parts) -> Target | Problem:
    """Return the target in a message, or the problem of the message."""
    size = DIGEST_BYTES
    raw = msg.digests
    if len(raw) != size * SHARDS:
        return Problem("digests", f"{len(raw)} bytes", str(size * SHARDS))
    digests = tuple(raw[i : i + size] for i in range(0, len(raw), size))
    if root_of(digests) != msg.root:
        return Problem(
            "digests", "digests of a different root", msg.root.hex()
        )
    return Target(msg.version, msg.root, msg.change, digests)


_ShardTexts = tuple[str, ...]


class Assembly:
    """Collects the shards of one target from peers.

    Shards that the known configuration shares are not requested.
    """

    def __init__(self, now: Seconds, target: Target, known: Tree) -> None:
        self.target = target
        self.peers: list[NodeId] = []
        self._received_at = now
        self._shards: dict[int, Shard] = {}
        self._next_request_at: float = now
        self._debt_updated_at = now
        self._debt_bytes = 0.0
        for i, digest in enumerate(target.digests):
            for tree in (known, EMPTY_TREE):
                if tree.digests[i] == digest:
                    self._shards[i] = tree.shards[i]

    def add_peer(self, peer: NodeId) -> None:
        """Add a peer that holds shards of the target."""
        if peer not in self.peers:
            self.peers.append(peer)

    def shard(self, index: int) -> Shard | None:
        """Return a shard of the target if it was received."""
        return self._shards.get(index)

    def stale(self, now: Seconds) -> bool:
        """Return whether no shards were received for ``STALE_AFTER_S``."""
        return now - self._received_at > STALE_AFTER_S

    def add_shards(self, now: Seconds, msg: Shards) -> Problem | None:
        """Add the shards of a message; ignore those of other roots."""
        if msg.root != self.target.root:
            return None
        raw = decompress_json(msg.body)
        texts = (
            raw if isinstance(raw, Problem) else decode_as(raw, _ShardTexts)
        )
        if isinstance(texts, Problem):
            return texts
        for i, text in zip(msg.indices, texts, strict=False):
            if not 0 <= i < SHARDS:
                return Problem("indices", str(i), f"under {SHARDS}")
            shard = decode_shard(text, self.target.digests[i])
            if isinstance(shard, Problem):
                return shard
            self._shards[i] = shard
        self._debt_bytes += len(msg.body) * BASE64_RATIO
        self._next_request_at = now
        self._received_at = now
        return None

    def request_shards(
        self, now: Seconds, rng: random.Random, fleet_starting: bool
    ) -> list[Send]:
        """Request missing shards from a random peer, at a limited rate."""
        rate = STARTUP_BYTES_PER_S if fleet_starting else STEADY_BYTES_PER_S
        self._debt_bytes = max(
            0.0, self._debt_bytes - (now - self._debt_updated_at) * rate
        )
        self._debt_updated_at = now
        if self._debt_bytes or now < self._next_request_at:
            return []
        missing = [i for i in range(SHARDS) if i not in self._shards]
        self._next_request_at = now + REQUEST_TIMEOUT_S
        peer = rng.choice(self.peers)
        # A random choice, as peers that assemble the same target request
        # different shards then and can send them to each other.
        batch = tuple(rng.sample(missing, min(BATCH_SHARDS, len(missing))))
        return [Send(peer, WantShards(self.target.root, batch))]

    def result(self) -> Candidate | None:
        """Return the configuration once all shards were received."""
        if len(self._shards) < SHARDS:
            return None
        shards = tuple(self._shards[i] for i in range(SHARDS))
        tree = assemble(shards, self.target.digests)
        return Candidate(tree, self.target.version, self.target.change)
