"""Control messages of membership, encoded as JSON arrays."""

import msgspec

from .limits import Age
from .limits import Count
from .limits import Id
from .limits import Place
from .limits import Start
from .record import Record


class Beat(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.beat",
):
    """A process tells a balancer that watches it that it lives.

    ``seen`` is the version of that balancer's table up to which this
    process was told of its service; while that is 0, ``holds`` is a
    32-bit hash of what it knows of the service. ``watchers`` is a 16-bit
    check of the balancers that it beats to; ``want`` asks for an answer.
    """

    incarnation: Start
    seq: Count
    seen: Count
    watchers: Count
    want: Count
    flows: Count = 0
    busy: Count = 0
    holds: Count = 0


class Announce(
    msgspec.Struct, frozen=True, array_like=True, tag="member.announce"
):
    """A process tells all about itself, when new or changed."""

    record: Record
    beat: Beat


class Ack(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.ack",
):
    """A balancer answers what it knows of the process.

    ``seq`` is -1 if the process is unknown; ``gone`` says that its
    incarnation is held to have ended. ``watchers`` names the balancers
    to beat to, ``peers`` others to turn to. ``packed`` holds records of
    its service: all live ones if ``whole``, else those that changed.
    ``down`` names places that can't be reached from the balancer.
    """

    incarnation: Start
    seq: int
    gone: Count
    version: Count
    watchers: tuple[Id, ...] = ()
    peers: tuple[Id, ...] = ()
    whole: bool = False
    packed: bytes = b""
    down: tuple[Place, ...] = ()


class Probe(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.probe",
):
    """Ask a process whether it lives and tell it who watches it."""

    watchers: tuple[Id, ...] = ()


class ProbeAck(
    msgspec.Struct, frozen=True, array_like=True, tag="member.probe-ack"
):
    """Answer to a probe."""

    incarnation: Start


class ProbeFor(
    msgspec.Struct, frozen=True, array_like=True, tag="member.probe-for"
):
    """Ask another balancer to probe a process on one's behalf."""

    target: Id


class Heard(msgspec.Struct, frozen=True, array_like=True, tag="member.heard"):
    """A balancer heard from the process it was asked to probe.

    ``age`` tells how long ago, in seconds.
    """

    target: Id
    age: Age


class News(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.news",
):
    """Records that changed, and places that some can't reach."""

    packed: bytes = b""
    down: tuple[Place, ...] = ()


class Digest(
    msgspec.Struct, frozen=True, array_like=True, tag="member.digest"
):
    """Hash over all live records.

    All answers repeat ``token``, so that one from before a pause is known
    for what it is; 0 asks for no answer to a match.
    """

    total: int
    token: Count


class Same(msgspec.Struct, frozen=True, array_like=True, tag="member.same"):
    """The digest matches."""

    token: Count


class Buckets(
    msgspec.Struct, frozen=True, array_like=True, tag="member.buckets"
):
    """Hashes of all buckets: they did not match as a whole."""

    token: Count
    hashes: bytes


class Prints(
    msgspec.Struct, frozen=True, array_like=True, tag="member.prints"
):
    """Fingerprints of the live records in the buckets that differ."""

    token: Count
    buckets: bytes
    prints: bytes


class Records(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.records",
):
    """Records that the other lacked; ``wants`` are prints lacked here."""

    token: Count
    packed: bytes = b""
    wants: bytes = b""


class Loads(msgspec.Struct, frozen=True, array_like=True, tag="member.loads"):
    """Packed loads of servers; ``hop`` is 1 from who heard them."""

    hop: Count
    packed: bytes


MESSAGES = (
    Beat,
    Announce,
    Ack,
    Probe,
    ProbeAck,
    ProbeFor,
    Heard,
    News,
    Digest,
    Same,
    Buckets,
    Prints,
    Records,
    Loads,
)
