"""Record of one process, and the order of its versions."""

import enum
import functools
import zlib

import msgspec
import xxhash

from ..ids import ServiceName
from .limits import Count
from .limits import Id
from .limits import IncarnationNumber
from .limits import Place
from .limits import Service
from .limits import Weight
from .view import ServerState

UNPACKED_LIMIT_BYTES = 4 * 1024 * 1024


class Role(enum.Enum):
    """Role of a process."""

    SERVER = "s"
    BALANCER = "b"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A process as it announced itself.

    ``id`` is the address of the process; a server goes by its agent's.
    Only the process itself increments ``seq``, with each change that it
    announces. Others may only mark an incarnation as GONE.
    """

    id: Id
    role: Role
    incarnation: IncarnationNumber
    seq: Count
    state: ServerState
    place: Place
    service: Service = ServiceName("")
    weight: Weight = 1.0
    slots: Count = 2

    @property
    def live(self) -> bool:
        """Whether this incarnation still runs."""
        return self.state is not ServerState.GONE

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Order of the records of one id: the largest is in force."""
        return (self.incarnation, not self.live, self.seq)


class RecordDecodeError(ValueError):
    """Packed records can't be read."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Record])


def pack(records: list[Record]) -> bytes:
    """Return records as compressed MessagePack."""
    return zlib.compress(_encoder.encode(records), 6) if records else b""


def unpack(data: bytes) -> list[Record]:
    """Return packed records.

    :raises RecordDecodeError: if the data is malformed or too large.
    """
    if not data:
        return []
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, UNPACKED_LIMIT_BYTES)
        if not inflater.eof:
            raise RecordDecodeError(
                "expected complete packed records within the size limit"
            )
        return _decoder.decode(plain)
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise RecordDecodeError(f"expected packed records: {exc}") from exc


def gone(record: Record) -> Record:
    """Return the record that marks this incarnation as ended."""
    return msgspec.structs.replace(record, state=ServerState.GONE)


@functools.lru_cache(maxsize=65536)
def id_hash(text: str) -> int:
    """Return the 64-bit hash that ids are assigned and sorted by."""
    return xxhash.xxh3_64_intdigest(text.encode())


def fingerprint(record: Record) -> int:
    """Return the 64-bit hash of the version of a live record."""
    text = f"{record.id}|{record.incarnation}|{record.seq}"
    return xxhash.xxh3_64_intdigest(text.encode())
