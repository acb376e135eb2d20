"""Immutable parts of a configuration and the digests that name them.

Services are dealt by a hash of their name into a fixed number of shards;
shard 0 holds the places. A shard is named by the digest of its JSON and
a whole configuration by the root, the digest over all shard digests.
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
"""Shards of a configuration: one of places, the others of services."""
DIGEST_BYTES = 10
MAX_PART_BYTES = 1024 * 1024
PLACES_SHARD = 0

Digest = bytes
"""Digest of a shard, or the root over all of them."""


class Shard(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One part; its entries are sorted by name."""

    places: tuple[Place, ...] = ()
    services: tuple[Service, ...] = ()


class Patch(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a change does; ``places`` is None where they stay."""

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
    """Return the digest over all shard digests and the schema."""
    return digest(b"%d:" % SCHEMA_VERSION + b"".join(digests))


@functools.lru_cache(maxsize=16384)
def shard_index(name: str) -> int:
    """Return the shard that holds a service."""
    return 1 + xxhash.xxh3_64_intdigest(name.encode()) % (SHARDS - 1)


def build_tree(cfg: Configuration) -> Tree:
    """Return the parts of a configuration, in their fixed order."""
    cfg = canonical(cfg)
    dealt: list[list[Service]] = [[] for _ in range(SHARDS)]
    for service in sorted(cfg.services, key=lambda held: held.name):
        dealt[shard_index(service.name)].append(service)
    shards = [Shard(services=tuple(held)) for held in dealt]
    shards[PLACES_SHARD] = Shard(places=_sorted_places(cfg.places))
    return assemble(tuple(shards))


def assemble(
    shards: tuple[Shard, ...], digests: tuple[Digest, ...] = ()
) -> Tree:
    """Return the tree of shards; ``digests`` saves computing them."""
    known = digests or tuple(digest(encode_shard(part)) for part in shards)
    services = [svc for shard in shards for svc in shard.services]
    cfg = Configuration(
        places=shards[PLACES_SHARD].places,
        services=tuple(sorted(services, key=lambda held: held.name)),
    )
    return Tree(cfg, shards, known, root_of(known))


def encode_shard(shard: Shard) -> bytes:
    """Return the bytes of a shard that its digest names."""
    return msgspec.json.encode(shard)


def decode_shard(data: str | bytes, named: Digest) -> Shard | Problem:
    """Return the shard in bytes if it is the one that is named."""
    raw = data.encode() if isinstance(data, str) else data
    if len(raw) > MAX_PART_BYTES:
        return Problem("$", f"{len(raw)} bytes", f"at most {MAX_PART_BYTES}")
    if digest(raw) != named:
        return Problem("$", f"digest {digest(raw).hex()}", named.hex())
    shard = decode_as(raw, Shard)
    if isinstance(shard, Shard) and encode_shard(shard) != raw:
        return Problem("$", "text in another form", "the canonical form")
    return shard


def patch_between(old: Tree, new: Tree) -> Patch:
    """Return the change that turns one configuration into another."""
    names: set[ServiceName] = set()
    for i in range(1, SHARDS):
        if old.digests[i] != new.digests[i]:
            before = {svc.name: svc for svc in old.shards[i].services}
            after = {svc.name: svc for svc in new.shards[i].services}
            both = before.keys() | after.keys()
            names |= {n for n in both if before.get(n) != after.get(n)}
    moved = old.digests[PLACES_SHARD] != new.digests[PLACES_SHARD]
    return patch_to(new, names, moved)


def patch_to(tree: Tree, names: Iterable[ServiceName], places: bool) -> Patch:
    """Return the change that brings services to their state in a tree."""
    upserts = []
    removed = []
    for name in sorted(names):
        held = _find(tree, name)
        if held is None:
            removed.append(name)
        else:
            upserts.append(held)
    here = tree.cfg.places if places else None
    return Patch(tuple(upserts), tuple(removed), here)


def apply_patch(tree: Tree, patch: Patch) -> Tree:
    """Return a tree with a change applied; only touched shards are new."""
    shards = list(tree.shards)
    digests = list(tree.digests)
    gone = set(patch.removed) | {svc.name for svc in patch.services}
    touched = {shard_index(name) for name in gone}
    for i in touched:
        kept = [s for s in shards[i].services if s.name not in gone]
        kept += [s for s in patch.services if shard_index(s.name) == i]
        kept.sort(key=lambda held: held.name)
        shards[i] = Shard(services=tuple(kept))
    if patch.places is not None:
        shards[PLACES_SHARD] = Shard(places=_sorted_places(patch.places))
        touched.add(PLACES_SHARD)
    for i in touched:
        digests[i] = digest(encode_shard(shards[i]))
    return assemble(tuple(shards), tuple(digests))


def check_tree(tree: Tree, sound: Tree | None = None) -> tuple[Problem, ...]:
    """Return what is wrong with a whole configuration.

    ``sound`` is one without faults from which this one was made.
    """
    before = sound.cfg if sound is not None else None
    return tuple(_misplaced(tree)) or check(tree.cfg, before)


def _misplaced(tree: Tree) -> Iterator[Problem]:
    """Refuse shards that hold what belongs elsewhere or out of order."""
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
    """Return what was compressed, of at most the size of a part."""
    stream = zlib.decompressobj()
    try:
        raw = stream.decompress(data, MAX_PART_BYTES)
    except zlib.error as exc:
        return Problem("$", "bytes that do not decompress_json", str(exc))
    if not stream.eof:
        return Problem("$", "a part cut short or too large", "a whole part")
    return raw


def _find(tree: Tree, name: ServiceName) -> Service | None:
    for held in tree.shards[shard_index(name)].services:
        if held.name == name:
            return held
    return None


def _sorted_places(places: Iterable[Place]) -> tuple[Place, ...]:
    return tuple(sorted(places, key=lambda place: place.name))


EMPTY_TREE = build_tree(Configuration(places=(), services=()))
"""What stands before the first configuration."""
