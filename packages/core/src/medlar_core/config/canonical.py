"""Canonical form of a document: equal documents have equal digests."""

from typing import Any

import msgspec

from .model import Configuration


def canonical(cfg: Configuration) -> Configuration:
    """Return an equal configuration with canonical JSON.

    The encoder omits a field only if its value is the identical object
    of the default, so fields that equal the default are set to it.
    """
    data = msgspec.json.encode(cfg)
    decoded = msgspec.json.decode(data, type=Configuration)
    return Configuration(
        places=_canonical(decoded.places),
        services=_canonical(decoded.services),
        schema=decoded.schema,
    )


def _canonical(value: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_canonical(entry) for entry in value)
    if not isinstance(value, msgspec.Struct):
        return value
    names = value.__struct_fields__
    defaults = value.__struct_defaults__
    fields = {name: _canonical(getattr(value, name)) for name in names}
    optional = names[len(names) - len(defaults) :]
    for name, default in zip(optional, defaults, strict=True):
        if fields[name] == default:
            fields[name] = default
    return type(value)(**fields)
