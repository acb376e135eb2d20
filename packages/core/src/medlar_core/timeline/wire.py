"""JSON encoding of events: a list over HTTP, lines in files."""

from collections.abc import Iterable

import msgspec

from .hlc import StampedEvent

_encoder = msgspec.json.Encoder()
_one = msgspec.json.Decoder(StampedEvent)
_many = msgspec.json.Decoder(list[StampedEvent])


def encode_list(events: Iterable[StampedEvent]) -> bytes:
    """Encode events as a JSON list, the body of an HTTP response."""
    return _encoder.encode(list(events))


def decode_list(body: bytes) -> list[StampedEvent]:
    """Decode events from the body of an HTTP response.

    :raises msgspec.DecodeError: if the body is not a list of events.
    """
    return _many.decode(body)


def encode_lines(events: Iterable[StampedEvent]) -> bytes:
    """Encode events as JSON lines, one per event."""
    return _encoder.encode_lines(events)


def decode_lines(data: bytes) -> list[StampedEvent]:
    """Decode events from JSON lines; empty lines are skipped.

    :raises msgspec.DecodeError: if a line is not an event.
    """
    return [_one.decode(line) for line in data.splitlines() if line]
