"""Gathering the parts of a version from several peers."""

import random

import msgspec

from ..effects import Send
from ..ids import ChangeId
from ..ids import NodeId
from ..ids import Seconds
from ..ids import Version
from .held import Candidate
from .messages import Parts
from .messages import ShardBody
from .messages import WantShards
from .parts import assemble
from .parts import decode_shard
from .parts import Digest
from .parts import DIGEST_BYTES
from .parts import EMPTY
from .parts import expand
from .parts import root_of
from .parts import Shard
from .parts import SHARDS
from .parts import Tree
from .problem import Problem

BATCH = 4
"""Shards asked of one peer at a time."""
BATCHES = 2
"""Peers asked at the same time."""
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


class Assembly:
    """Shards of one target; whole only when every one is here."""

    def __init__(self, now: Seconds, target: Target, known: Tree) -> None:
        self.target = target
        self.peers: list[NodeId] = []
        self._heard_at = now
        self._shards: dict[int, Shard] = {}
        self._asked: dict[int, Seconds] = {}
        for i, named in enumerate(target.digests):
            for held in (known, EMPTY):
                if held.digests[i] == named:
                    self._shards[i] = held.shards[i]

    def add_peer(self, peer: NodeId) -> None:
        """Remember a peer that holds the target."""
        if peer not in self.peers:
            self.peers.append(peer)

    def stale(self, now: Seconds) -> bool:
        """Return whether nothing has come for long."""
        return now - self._heard_at > GIVE_UP_S

    def take(self, now: Seconds, msg: ShardBody) -> Problem | None:
        """Take a shard of the target; another one changes nothing."""
        if msg.root != self.target.root or not 0 <= msg.index < SHARDS:
            return None
        raw = expand(msg.body)
        if isinstance(raw, Problem):
            return raw
        shard = decode_shard(raw, self.target.digests[msg.index])
        if isinstance(shard, Problem):
            return shard
        self._shards[msg.index] = shard
        self._asked.pop(msg.index, None)
        self._heard_at = now
        return None

    def ask(self, now: Seconds, rng: random.Random) -> list[Send]:
        """Ask peers for shards that are missing, a few at a time."""
        due = {i for i, at in self._asked.items() if now - at > AGAIN_S}
        for i in due:
            del self._asked[i]
        room = BATCH * BATCHES - len(self._asked)
        missing = [
            i
            for i in range(SHARDS)
            if i not in self._shards and i not in self._asked
        ][: max(0, room)]
        sends = []
        for at in range(0, len(missing), BATCH):
            batch = tuple(missing[at : at + BATCH])
            self._asked.update(dict.fromkeys(batch, now))
            peer = rng.choice(self.peers)
            sends.append(Send(peer, WantShards(self.target.root, batch)))
        return sends

    def whole(self) -> Candidate | None:
        """Return the configuration once every shard is here."""
        if len(self._shards) < SHARDS:
            return None
        shards = tuple(self._shards[i] for i in range(SHARDS))
        tree = assemble(shards, self.target.digests)
        return Candidate(tree, self.target.version, self.target.change)
