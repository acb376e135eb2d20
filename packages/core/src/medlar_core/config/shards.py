"""Immutable shards of a configuration, addressed by their digests.

Services are assigned to a fixed number of shards by a hash of their name;
shard 0 contains the places. A shard is identified by the digest of its
JSON, a configuration by its root, the digest over all shard digests.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import functools
import hashlib
import zlib

import msgspec
import xxhash

from ..ids import ServiceName
from .canonical import canonical
from .check import check
from .codec import decode_as
from .model import Configuration
from .model import Place
from .model import SCHEMA_VERSION
from .model import Service
from .problem import Problem

SHARDS = 65
"""Number of shards: one for the places, the others for services."""
DIGEST_BYTES = 10
MAX_SHARD_BYTES = 1024 * 1024
PLACES_SHARD = 0

Digest = bytes
"""Digest of a shard, or the root over all of them."""


class Shard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One shard; its entries are sorted by name."""

    places: tuple[Place, ...] = ()
    services: tuple[Service, ...] = ()


class Patch(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changed and removed entries; ``places`` is None if unchanged."""

    services: tuple[Service, ...] = ()
    removed: tuple[ServiceName, ...] = ()
    places: tuple[Place, ...] | None = None


class Tree(msgspec.Struct, frozen=True):
    """A configuration with its shards, their digests and the root."""

    cfg: Configuration
    shards: tuple[Shard, ...]
    digests: tuple[Digest, ...]
    root: Digest


def digest(data: bytes) -> Digest:
    """Return the digest of encoded bytes."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def root_of(digests: Iterable[Digest]) -> Digest:
    """Return the root: the digest over the schema and all shard digests."""
    return digest(b"%d:" % SCHEMA_VERSION + b"".join(digests))


@functools.lru_cache(maxsize=16384)
def shard_index(name: str) -> int:
    """Return the index of the shard of a service."""
    return 1 + xxhash.xxh3_64_intdigest(name.encode()) % (SHARDS - 1)


def build_tree(cfg: Configuration) -> Tree:
    """Return the tree of a configuration, in canonical form."""
    cfg = canonical(cfg)
    groups: list[list[Service]] = [[] for _ in range(SHARDS)]
    for service in sorted(cfg.services, key=lambda entry: entry.name):
        groups[shard_index(service.name)].append(service)
    shards = [Shard(services=tuple(group)) for group in groups]
    shards[PLACES_SHARD] = Shard(places=_sorted_places(cfg.places))
    return assemble(tuple(shards))


def assemble(
    shards: tuple[Shard, ...], digests: tuple[Digest, ...] = ()
) -> Tree:
    """Return the tree of shards.

    ``digests`` are those of the shards; without them they are computed.
    """
    shard_digests = digests or tuple(
        digest(encode_shard(item)) for item in shards
    )
    services = [svc for shard in shards for svc in shard.services]
    cfg = Configuration(
        places=shards[PLACES_SHARD].places,
        services=tuple(sorted(services, key=lambda entry: entry.name)),
    )
    return Tree(cfg, shards, shard_digests, root_of(shard_digests))


def encode_shard(shard: Shard) -> bytes:
    """Return the JSON of a shard, over which its digest is computed."""
    return msgspec.json.encode(shard)


def decode_shard(data: str | bytes, expected: Digest) -> Shard | Problem:
    """Return the shard if the data has the expected digest."""
    raw = data.encode() if isinstance(data, str) else data
    if len(raw) > MAX_SHARD_BYTES:
        return Problem("$", f"{len(raw)} bytes", f"at most {MAX_SHARD_BYTES}")
    if digest(raw) != expected:
        return Problem("$", f"digest {digest(raw).hex()}", expected.hex())
    shard = decode_as(raw, Shard)
    if isinstance(shard, Shard) and encode_shard(shard) != raw:
        return Problem("$", "JSON that is not canonical", "the canonical form")
    return shard


def patch_between(old: Tree, new: Tree) -> Patch:
    """Return the patch that turns one configuration into another."""
    names: set[ServiceName] = set()
    for i in range(1, SHARDS):
        if old.digests[i] != new.digests[i]:
            before = {svc.name: svc for svc in old.shards[i].services}
            after = {svc.name: svc for svc in new.shards[i].services}
            all_names = before.keys() | after.keys()
            names |= {n for n in all_names if before.get(n) != after.get(n)}
    places_changed = old.digests[PLACES_SHARD] != new.digests[PLACES_SHARD]
    return patch_to(new, names, places_changed)


def patch_to(tree: Tree, names: Iterable[ServiceName], places: bool) -> Patch:
    """Return the patch that sets the named services as in a tree."""
    upserts = []
    removed = []
    for name in sorted(names):
        svc = _find_service(tree, name)
        if svc is None:
            removed.append(name)
        else:
            upserts.append(svc)
    new_places = tree.cfg.places if places else None
    return Patch(tuple(upserts), tuple(removed), new_places)


def apply_patch(tree: Tree, patch: Patch) -> Tree:
    """Return a tree with a patch applied; other shards are reused."""
    shards = list(tree.shards)
    digests = list(tree.digests)
    replaced = set(patch.removed) | {svc.name for svc in patch.services}
    touched = {shard_index(name) for name in replaced}
    for i in touched:
        kept = [s for s in shards[i].services if s.name not in replaced]
        kept += [s for s in patch.services if shard_index(s.name) == i]
        kept.sort(key=lambda entry: entry.name)
        shards[i] = Shard(services=tuple(kept))
    if patch.places is not None:
        shards[PLACES_SHARD] = Shard(places=_sorted_places(patch.places))
        touched.add(PLACES_SHARD)
    for i in touched:
        digests[i] = digest(encode_shard(shards[i]))
    return assemble(tuple(shards), tuple(digests))


def check_tree(tree: Tree, valid: Tree | None = None) -> tuple[Problem, ...]:
    """Return the problems of a whole configuration.

    ``valid`` is a tree without problems; what this one shares with it is
    not validated again.
    """
    before = valid.cfg if valid is not None else None
    return tuple(_layout_problems(tree)) or check(tree.cfg, before)


def _layout_problems(tree: Tree) -> Iterator[Problem]:
    """Yield shards with unsorted entries or entries of other shards."""
    for i, shard in enumerate(tree.shards):
        names = [svc.name for svc in shard.services]
        if names != sorted(names):
            yield Problem(f"shard {i}", "services out of order", "by name")
        if any(shard_index(name) != i for name in names):
            yield Problem(f"shard {i}", "services of another shard", "its own")
        if shard.places and i != PLACES_SHARD:
            yield Problem(f"shard {i}", "places", f"shard {PLACES_SHARD}")
        if shard.places != _sorted_places(shard.places):
            yield Problem(f"shard {i}", "places out of order", "by name")


def compress_json(value: object) -> bytes:
    """Return the compressed JSON of a value."""
    return zlib.compress(msgspec.json.encode(value), 9)


def decompress_json(data: bytes) -> bytes | Problem:
    """Return the decompressed JSON, at most ``MAX_SHARD_BYTES`` long."""
    stream = zlib.decompressobj()
    try:
        raw = stream.decompress(data, MAX_SHARD_BYTES)
    except zlib.error as exc:
        return Problem("$", "bytes that are not zlib data", str(exc))
    if not stream.eof:
        return Problem(
            "$",
            "data truncated or too large",
            f"complete data of at most {MAX_SHARD_BYTES} bytes",
        )
    return raw


def _find_service(tree: Tree, name: ServiceName) -> Service | None:
    for svc in tree.shards[shard_index(name)].services:
        if svc.name == name:
            return svc
    return None


def _sorted_places(places: Iterable[Place]) -> tuple[Place, ...]:
    return tuple(sorted(places, key=lambda place: place.name))


EMPTY_TREE = build_tree(Configuration(places=(), services=()))
"""The tree before the first configuration."""
