"""Limits on message fields, enforced by the decoders."""

from typing import Annotated
from typing import TypeAlias

import msgspec

from ..ids import Incarnation
from ..ids import NodeId
from ..ids import PlaceName
from ..ids import ServiceName

LARGEST_COUNT = 2**62
ID_CHARS = 64
NAME_CHARS = 128
LARGEST_WEIGHT = 1000.0

_count = msgspec.Meta(ge=0, le=LARGEST_COUNT)
_name = msgspec.Meta(max_length=NAME_CHARS)

Count: TypeAlias = Annotated[int, _count]
IncarnationNumber: TypeAlias = Annotated[Incarnation, _count]
Id: TypeAlias = Annotated[NodeId, msgspec.Meta(max_length=ID_CHARS)]
Place: TypeAlias = Annotated[PlaceName, _name]
Service: TypeAlias = Annotated[ServiceName, _name]
Weight: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=LARGEST_WEIGHT)]
Age: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
"""Seconds since the last message of a process."""
