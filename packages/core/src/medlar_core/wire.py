"""JSON encoding of the control messages of all parts."""

from typing import Any
from typing import Union

import msgspec

from .config import messages as config_messages
from .flows import messages as flow_messages
from .members import messages as member_messages
from .requests import messages as request_messages

MESSAGES: tuple[type[msgspec.Struct], ...] = (
    *config_messages.MESSAGES,
    *flow_messages.MESSAGES,
    *member_messages.MESSAGES,
    *request_messages.MESSAGES,
)

MAX_MESSAGE_BYTES = 1024 * 1024

_encoder = msgspec.json.Encoder()


def _decoder(arrays: bool) -> msgspec.json.Decoder[Any]:
    """Return a decoder of messages encoded as JSON arrays or objects."""
    kinds = [
        kind
        for kind in MESSAGES
        if kind.__struct_config__.array_like is arrays
    ]
    return msgspec.json.Decoder(Union[tuple(kinds)])  # noqa: UP007


_objects = _decoder(arrays=False)
_arrays = _decoder(arrays=True)


def encode(msg: msgspec.Struct) -> bytes:
    """Encode a control message as JSON."""
    return _encoder.encode(msg)


def decode(data: bytes) -> Any:
    """Decode a control message from JSON.

    :raises msgspec.DecodeError: if it is malformed or of unknown type.
    """
    decoder = _arrays if data[:1] == b"[" else _objects
    return decoder.decode(data)
