"""Responses to peers that request the configuration, rate-limited."""

from typing import Any

from ..effects import Send
from ..ids import NodeId
from ..ids import Seconds
from ..limits import TokenBucket
from .assembly import Assembly
from .assembly import BATCH_SHARDS
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
    """Builds responses; ``throttled`` counts those dropped by the limit."""

    def __init__(self, current: ConfigInForce) -> None:
        self.throttled = 0
        self._current = current
        self._bucket = TokenBucket(BYTES_PER_S, BURST_BYTES)

    def update(self, now: Seconds, src: NodeId, want: Want) -> list[Send]:
        """Return the delta from a version, or the shard digests.

        The digests are sent if they are requested, if the changes since
        the version are not recorded, or if the delta is too large.
        """
        current = self._current
        if want.version >= current.version:
            return []
        patch = None if want.whole else current.patch_from(want.version)
        body = compress_json(patch) if patch is not None else b""
        if patch is None or len(body) > MAX_DELTA_BYTES:
            digests = b"".join(current.tree.digests)
            parts = Parts(
                current.version, current.root, current.change, digests
            )
            return self._respond(now, src, parts, len(digests))
        delta = Delta(
            want.version, current.version, current.root, current.change, body
        )
        return self._respond(now, src, delta, len(body))

    def find_shards(
        self, want: WantShards, assembly: Assembly | None
    ) -> dict[int, Shard]:
        """Return the requested shards that this process holds.

        This includes shards of a version that is still being assembled,
        so that a large change spreads before any process has all of it.
        """
        indices = sorted(i for i in set(want.indices) if 0 <= i < SHARDS)
        if want.root == self._current.root:
            return {
                i: self._current.tree.shards[i] for i in indices[:BATCH_SHARDS]
            }
        if assembly is None or assembly.target.root != want.root:
            return {}
        received = ((i, assembly.shard(i)) for i in indices[:BATCH_SHARDS])
        return {i: shard for i, shard in received if shard is not None}

    def shards(
        self,
        now: Seconds,
        src: NodeId,
        want: WantShards,
        found: dict[int, Shard],
    ) -> list[Send]:
        """Return one message with the shards."""
        body = compress_json(
            [encode_shard(x).decode() for x in found.values()]
        )
        msg = Shards(want.root, tuple(found), body)
        return self._respond(now, src, msg, len(body))

    def _respond(
        self, now: Seconds, dst: NodeId, msg: Any, size: int
    ) -> list[Send]:
        if not self._bucket.take(now, size):
            self.throttled += 1
            return []
        return [Send(dst, msg)]
