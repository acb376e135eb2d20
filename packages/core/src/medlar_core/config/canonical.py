"""The one form of a document, so that equal ones have equal digests."""

from typing import Any

import msgspec

from .model import Configuration


def canonical(cfg: Configuration) -> Configuration:
    """Return an equal configuration whose JSON is the same for all.

    The encoder leaves a field out only if it holds the very object that
    is the default, so fields equal to it are set to that object.
    """
    data = msgspec.json.encode(cfg)
    plain = msgspec.json.decode(data, type=Configuration)
    return Configuration(
        places=_part(plain.places),
        services=_part(plain.services),
        schema=plain.schema,
    )


def _part(value: Any) -> Any:
    if isinstance(value, tuple):
        return tuple(_part(entry) for entry in value)
    if not isinstance(value, msgspec.Struct):
        return value
    names = value.__struct_fields__
    defaults = value.__struct_defaults__
    fields = {name: _part(getattr(value, name)) for name in names}
    optional = names[len(names) - len(defaults) :]
    for name, default in zip(optional, defaults, strict=True):
        if fields[name] == default:
            fields[name] = default
    return type(value)(**fields)
