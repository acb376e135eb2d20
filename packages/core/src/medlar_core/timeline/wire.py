"""JSON form of stamped events: a list over HTTP, lines in files."""

from collections.abc import Iterable

import msgspec

from .hlc import StampedEvent

_encoder = msgspec.json.Encoder()
_one = msgspec.json.Decoder(StampedEvent)
_many = msgspec.json.Decoder(list[StampedEvent])


def encode_list(events: Iterable[StampedEvent]) -> bytes:
    """Return the body of an answer over HTTP: a JSON list."""
    return _encoder.encode(list(events))


def decode_list(body: bytes) -> list[StampedEvent]:
    """Return the events in an answer.

    :raises msgspec.DecodeError: if the body is no list of events.
    """
    return _many.decode(body)


def encode_lines(events: Iterable[StampedEvent]) -> bytes:
    """Return JSON lines, one event a line."""
    return _encoder.encode_lines(events)


def decode_lines(data: bytes) -> list[StampedEvent]:
    """Return the events in JSON lines.

    :raises msgspec.DecodeError: if a line is no event.
    """
    return [_one.decode(line) for line in data.splitlines() if line]
