"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(level: str, role: str, node: str) -> None:
    """Send the logs of this process to standard error as JSON."""
    configure_handler(logging.StreamHandler(sys.stderr), level, role, node)


def configure_handler(
    handler: logging.Handler, level: str, role: str, node: str
) -> None:
    """Send the logs of this process to a handler as JSON."""
    handler.setFormatter(
        JsonFormatter(_FIELDS, static_fields={"role": role, "node": node})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def part_logger(part: str) -> "logging.LoggerAdapter[logging.Logger]":
    """Return the logger of a part; its sentences start with its name."""
    return _Prefixed(logging.getLogger(f"medlarstage.{part}"), {"part": part})


class _Prefixed(logging.LoggerAdapter[logging.Logger]):
    def process(self, msg, kwargs):  # type: ignore[no-untyped-def]
        """Put the part's name before the sentence."""
        extra = {**(self.extra or {}), **kwargs.get("extra", {})}
        return f"{extra['part']}: {msg}", {**kwargs, "extra": extra}
