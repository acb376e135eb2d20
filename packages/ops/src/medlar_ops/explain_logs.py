"""Traces a flow through the logs of several processes."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import pathlib

import msgspec

MAX_STATE_CHANGES = 6
"""State changes shown that precede the last line of the flow."""

_STATE_TOPICS = ("membership", "drain", "configuration", "store")


class LogLine(msgspec.Struct):
    """One log line of a process."""

    asctime: str
    message: str
    role: str = ""
    node: str = ""
    topic: str = ""
    flow: str = ""
    service: str = ""
    server: str = ""
    reason: str = ""
    version: int = 0

    @property
    def text(self) -> str:
        """The line as readable text."""
        fields = [
            f"{name}={value}"
            for name, value in (
                ("service", self.service),
                ("server", self.server),
                ("reason", self.reason),
                ("version", self.version),
            )
            if value
        ]
        message = self.message.partition(": ")[2] or self.message
        return " ".join((self.asctime, self.node, message, *fields))


class FlowTrace(msgspec.Struct, frozen=True):
    """The log lines of a flow and their context.

    ``state_changes`` were logged before the last line of the flow;
    ``unreadable`` counts lines that are not log lines of a process.
    """

    flow: str
    lines: tuple[LogLine, ...]
    state_changes: tuple[LogLine, ...]
    unreadable: int

    @property
    def sentence(self) -> str:
        """The path and the end of the flow in one sentence."""
        if not self.lines:
            return f"flow {self.flow}: no log line mentions it"
        hops = list(dict.fromkeys(line.node for line in self.lines))
        opened = [line for line in self.lines if "opened" in line.message]
        where = f"opened at {opened[-1].node}" if opened else "not opened"
        return (
            f"flow {self.flow}: {where}, by way of {', '.join(hops)}; "
            f"{self._end()}"
        )

    def _end(self) -> str:
        last = self.lines[-1]
        if not last.reason:
            return "no log line reports its end"
        message = last.message.rpartition(": ")[2]
        return f"{message} by {last.node}, reason {last.reason}"


def read(paths: Iterable[pathlib.Path]) -> Iterator[LogLine | None]:
    """Yield the lines of log files, None for lines of other programs.

    Text before the JSON object of a line is ignored.

    :raises OSError: if a file cannot be read.
    """
    decoder = msgspec.json.Decoder(LogLine)
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                try:
                    yield decoder.decode(text[start:]) if start >= 0 else None
                except msgspec.DecodeError:
                    yield None


def trace(flow: str, lines: Iterable[LogLine | None]) -> FlowTrace:
    """Trace a flow, identified as ``caller>address`` as in the logs."""
    unreadable = 0
    flow_lines: list[LogLine] = []
    state_changes: list[LogLine] = []
    for line in lines:
        if line is None:
            unreadable += 1
        elif line.flow == flow:
            flow_lines.append(line)
        elif line.topic in _STATE_TOPICS and not line.flow:
            state_changes.append(line)
    flow_lines.sort(key=lambda line: line.asctime)
    return FlowTrace(
        flow,
        tuple(flow_lines),
        _preceding(flow_lines, state_changes),
        unreadable,
    )


def _preceding(
    flow_lines: Sequence[LogLine], state_changes: list[LogLine]
) -> tuple[LogLine, ...]:
    """Return the last state changes that concern the flow.

    These are logged by its processes or concern its services.
    """
    if not flow_lines:
        return ()
    nodes = {line.node for line in flow_lines}
    services = {line.service for line in flow_lines if line.service}
    found = [
        line
        for line in state_changes
        if line.asctime <= flow_lines[-1].asctime
        and (line.node in nodes or line.service in services)
    ]
    found.sort(key=lambda line: line.asctime)
    return tuple(found[-MAX_STATE_CHANGES:])


def text(flow_trace: FlowTrace) -> str:
    """Format the trace for a terminal."""
    parts = [
        flow_trace.sentence,
        *(f"  {line.text}" for line in flow_trace.lines),
    ]
    if flow_trace.state_changes:
        parts.append("state changes before that:")
        parts += [f"  {line.text}" for line in flow_trace.state_changes]
    return "\n".join(parts)
