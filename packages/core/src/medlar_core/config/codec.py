"""Encoding and decoding of configuration documents as JSON."""

from typing import TypeVar

import msgspec

from .check import check
from .model import Configuration
from .model import SCHEMA_VERSION
from .problem import Problem

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

T = TypeVar("T")


class _SchemaField(msgspec.Struct, frozen=True):
    """The schema field, decoded first: other schemas may have any fields."""

    schema: int = SCHEMA_VERSION


def encode(cfg: Configuration) -> str:
    """Return a configuration as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(cfg), indent=2).decode()


def decode(text: str | bytes) -> Configuration | tuple[Problem, ...]:
    """Return the validated configuration of a document, or its problems."""
    if len(text) > MAX_DOCUMENT_BYTES:
        got = f"{len(text)} bytes"
        return (Problem("$", got, f"at most {MAX_DOCUMENT_BYTES}"),)
    schema = decode_as(text, _SchemaField)
    if isinstance(schema, Problem):
        return (schema,)
    if schema.schema != SCHEMA_VERSION:
        actual = str(schema.schema)
        return (Problem("schema", actual, str(SCHEMA_VERSION)),)
    cfg = decode_as(text, Configuration)
    if isinstance(cfg, Problem):
        return (cfg,)
    return check(cfg) or cfg


def decode_as(text: str | bytes, kind: type[T]) -> T | Problem:
    """Return the JSON decoded as a type, or the problem of the text."""
    try:
        return msgspec.json.decode(text, type=kind)
    except (ValueError, RecursionError) as exc:
        return _decode_problem(str(exc))


def _decode_problem(error: str) -> Problem:
    """Split the decoder's error message into field path and reason."""
    why, separator, path = error.rpartition(" - at `")
    if not separator:
        return Problem("$", "text that is not a valid document", error)
    field = path.rstrip("`").removeprefix("$").removeprefix(".")
    return Problem(field or "$", "an invalid value", why)
