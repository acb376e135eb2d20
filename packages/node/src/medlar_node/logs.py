"""Structured logs: one JSON object per line on standard error."""

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
    """Send the logs of this process to ``handler`` as JSON."""
    handler.setFormatter(
        JsonFormatter(_FIELDS, static_fields={"role": role, "node": node})
    )
    # Nothing of this is in the lines, and finding it costs more than
    # formatting them.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def part_logger(part: str) -> "logging.LoggerAdapter[logging.Logger]":
    """Return the logger of a part; it prefixes messages with the name."""
    return _Prefixed(logging.getLogger(f"medlarstage.{part}"), {"part": part})


class _Prefixed(logging.LoggerAdapter[logging.Logger]):
    def process(self, msg, kwargs):  # type: ignore[no-untyped-def]
        """Prefix the message with the name of the part."""
        extra = {**(self.extra or {}), **kwargs.get("extra", {})}
        return f"{extra['part']}: {msg}", {**kwargs, "extra": extra}
