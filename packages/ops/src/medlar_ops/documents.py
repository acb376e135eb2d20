"""Reads documents from files and from the store."""

import pathlib
import sys
from typing import TypeVar

from medlar_core.config.codec import decode
from medlar_core.config.model import Configuration
from medlar_core.config.problem import Problem
from medlar_core.config.records import StoreRoutine

from .store_client import StoreClient

T = TypeVar("T")


class DocumentError(ValueError):
    """A document file can't be read."""


def read_document(path: str) -> Configuration | tuple[Problem, ...]:
    """Read and check the document in a file, ``-`` for standard input.

    :raises DocumentError: if the file can't be read.
    """
    try:
        if path == "-":
            return decode(sys.stdin.buffer.read())
        return decode(pathlib.Path(path).read_bytes())
    except OSError as exc:
        raise DocumentError(f"{path}: {exc.strerror}") from None


async def run_reading(store: StoreClient, reading: StoreRoutine[T]) -> T:
    """Execute the store calls of a reading and return its result."""
    try:
        op = next(reading)
        while True:
            op = reading.send(await store.call(op))
    except StopIteration as end:
        result: T = end.value
        return result
