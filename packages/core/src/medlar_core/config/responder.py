"""What a process hands to peers that lack a version, at a bounded rate."""

from typing import Any

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..limits import TokenBucket
from .assembly import Assembly
from .assembly import BATCH
from .in_force import ConfigInForce
from .messages import Delta
from .messages import Parts
from .messages import Shards
from .messages import Want
from .messages import WantShards
from .shards import compress_json
from .shards import encode_shard
from .shards import Shard
from .shards import SHARDS

BYTES_PER_S = 2000.0
BURST_BYTES = 20_000.0
MAX_DELTA_BYTES = 16_000


class PeerResponder:
    """Answers peers; ``throttled`` counts answers left out for the rate."""

    def __init__(self, held: ConfigInForce) -> None:
        self.throttled = 0
        self._held = held
        self._bucket = TokenBucket(BYTES_PER_S, BURST_BYTES)

    def change(self, now: Seconds, src: NodeId, want: Want) -> list[Send]:
        """Return what changed since a version, or the list of parts."""
        held = self._held
        if want.version >= held.version:
            return []
        patch = None if want.whole else held.patch_from(want.version)
        body = compress_json(patch) if patch is not None else b""
        if patch is None or len(body) > MAX_DELTA_BYTES:
            digests = b"".join(held.tree.digests)
            parts = Parts(held.version, held.root, held.change, digests)
            return self._answer(now, src, parts, len(digests))
        delta = Delta(want.version, held.version, held.root, held.change, body)
        return self._answer(now, src, delta, len(body))

    def shards_of(
        self, want: WantShards, gathered: Assembly | None
    ) -> dict[int, Shard]:
        """Return those shards asked for that are here.

        Shards of a version that is still gathered are handed on too, so
        that a large change spreads before any process has all of it.
        """
        asked = sorted(i for i in set(want.indices) if 0 <= i < SHARDS)
        if want.root == self._held.root:
            return {i: self._held.tree.shards[i] for i in asked[:BATCH]}
        if gathered is None or gathered.target.root != want.root:
            return {}
        held = ((i, gathered.shard(i)) for i in asked[:BATCH])
        return {i: shard for i, shard in held if shard is not None}

    def shards(
        self,
        now: Seconds,
        src: NodeId,
        want: WantShards,
        found: dict[int, Shard],
    ) -> list[Send]:
        """Return shards as one message."""
        body = compress_json(
            [encode_shard(x).decode() for x in found.values()]
        )
        msg = Shards(want.root, tuple(found), body)
        return self._answer(now, src, msg, len(body))

    def _answer(
        self, now: Seconds, dst: NodeId, msg: Any, size: int
    ) -> list[Send]:
        if not self._bucket.take(now, size):
            self.throttled += 1
            return []
        return [Send(dst, msg)]
