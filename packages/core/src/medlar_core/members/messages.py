"""Control messages of membership, encoded as JSON arrays."""

import msgspec

from .limits import Age
from .limits import Count
from .limits import Id
from .limits import IncarnationNumber
from .limits import Place
from .record import Record


class Beat(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.beat",
):
    """Heartbeat of a process to a balancer that watches it.

    ``seen`` is the version of that balancer's table up to which this
    process has received the records of its service; while it is 0,
    ``holds`` is a 32-bit hash of the records it has of the service.
    ``watchers`` is a 16-bit checksum of the balancers that it sends
    heartbeats to; ``want`` requests an ack.
    """

    incarnation: IncarnationNumber
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
    """Full record of a process, sent when it is new or has changed."""

    record: Record
    beat: Beat


class Ack(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    omit_defaults=True,
    tag="member.ack",
):
    """Reply to a heartbeat with the known state of the process.

    ``seq`` is -1 if the process is unknown; ``gone`` is 1 if its
    incarnation is recorded as ended. ``watchers`` lists the balancers to
    send heartbeats to, ``peers`` others to contact if these don't reply.
    ``packed`` holds records of its service: all live ones if ``whole``,
    else those that changed. ``down`` lists the places that the balancer
    can't reach.
    """

    incarnation: IncarnationNumber
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
    """Liveness probe; ``watchers`` lists the watchers of its target."""

    watchers: tuple[Id, ...] = ()


class ProbeAck(
    msgspec.Struct, frozen=True, array_like=True, tag="member.probe-ack"
):
    """Reply to a probe."""

    incarnation: IncarnationNumber


class ProbeFor(
    msgspec.Struct, frozen=True, array_like=True, tag="member.probe-for"
):
    """Request to another balancer for an indirect probe of a process."""

    target: Id


class Heard(msgspec.Struct, frozen=True, array_like=True, tag="member.heard"):
    """Positive result of an indirect probe.

    ``age`` is the time since the last message of the process, in seconds.
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
    """Changed records, and places that some balancer can't reach."""

    packed: bytes = b""
    down: tuple[Place, ...] = ()


class Digest(
    msgspec.Struct, frozen=True, array_like=True, tag="member.digest"
):
    """Hash over all live records.

    All replies repeat ``token``, so that a reply from before a pause can be
    recognised; 0 requests no reply to a match.
    """

    total: int
    token: Count


class Same(msgspec.Struct, frozen=True, array_like=True, tag="member.same"):
    """The digest matches."""

    token: Count


class Buckets(
    msgspec.Struct, frozen=True, array_like=True, tag="member.buckets"
):
    """Hashes of all buckets, sent when the digests differ."""

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
    """Records the receiver lacks; ``wants``: fingerprints the sender lacks."""

    token: Count
    packed: bytes = b""
    wants: bytes = b""


class Loads(msgspec.Struct, frozen=True, array_like=True, tag="member.loads"):
    """Packed server loads; ``hop`` is 1 if reported to the sender."""

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
