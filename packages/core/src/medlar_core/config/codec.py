"""Documents as JSON text, and faults of the text by field path."""

from typing import TypeVar

import msgspec

from .check import check
from .model import Configuration
from .model import SCHEMA_VERSION
from .problem import Problem

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024

T = TypeVar("T")


class _Schema(msgspec.Struct, frozen=True):
    """The only field that is read of a document of another schema."""

    schema: int = SCHEMA_VERSION


def encode(cfg: Configuration) -> str:
    """Return the document of a configuration, indented for people."""
    return msgspec.json.format(msgspec.json.encode(cfg), indent=2).decode()


def decode(text: str | bytes) -> Configuration | tuple[Problem, ...]:
    """Return the checked configuration in a document, or its faults."""
    if len(text) > MAX_DOCUMENT_BYTES:
        got = f"{len(text)} bytes"
        return (Problem("$", got, f"at most {MAX_DOCUMENT_BYTES}"),)
    schema = decode_as(text, _Schema)
    if isinstance(schema, Problem):
        return (schema,)
    if schema.schema != SCHEMA_VERSION:
        wrong = str(schema.schema)
        return (Problem("schema", wrong, str(SCHEMA_VERSION)),)
    cfg = decode_as(text, Configuration)
    if isinstance(cfg, Problem):
        return (cfg,)
    return check(cfg) or cfg


def decode_as(text: str | bytes, kind: type[T]) -> T | Problem:
    """Return a value of a type from JSON, or the fault of the text."""
    try:
        return msgspec.json.decode(text, type=kind)
    except (ValueError, RecursionError) as exc:
        return _fault(str(exc))


def _fault(said: str) -> Problem:
    """Turn the decoder's sentence into a path and what it says."""
    why, at, path = said.rpartition(" - at `")
    if not at:
        return Problem("$", "text that is no such document", said)
    plain = path.rstrip("`").removeprefix("$").removeprefix(".")
    return Problem(plain or "$", "another value", why)
