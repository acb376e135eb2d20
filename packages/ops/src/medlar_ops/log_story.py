"""The story of a flow, told from the logs of several processes alone."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import pathlib

import msgspec

BELIEFS_SHOWN = 6
"""Changes of belief shown before the flow's last line."""

_BELIEFS = ("membership", "drain", "configuration", "store")


class LogLine(msgspec.Struct):
    """One line of a process, as it was logged."""

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
        """The line for a reader."""
        facts = [
            f"{name}={value}"
            for name, value in (
                ("service", self.service),
                ("server", self.server),
                ("reason", self.reason),
                ("version", self.version),
            )
            if value
        ]
        words = self.message.partition(": ")[2] or self.message
        return " ".join((self.asctime, self.node, words, *facts))


class Story(msgspec.Struct, frozen=True):
    """What the logs tell of a flow.

    ``beliefs`` are changes of belief that came before its last line;
    ``unreadable`` counts lines that are no log of a process.
    """

    flow: str
    lines: tuple[LogLine, ...]
    beliefs: tuple[LogLine, ...]
    unreadable: int

    @property
    def sentence(self) -> str:
        """Where the flow went and how it ended, in one sentence."""
        if not self.lines:
            return f"flow {self.flow}: no line tells of it"
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
            return "no line tells of an end"
        words = last.message.rpartition(": ")[2]
        return f"{words} by {last.node}, reason {last.reason}"


def read(paths: Iterable[pathlib.Path]) -> Iterator[LogLine | None]:
    """Return the lines of log files, None for those of other programs.

    What stands before the JSON object of a line is passed over.

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


def tell(flow: str, lines: Iterable[LogLine | None]) -> Story:
    """Return the story of a flow, ``caller>address`` as logged."""
    unreadable = 0
    own: list[LogLine] = []
    beliefs: list[LogLine] = []
    for line in lines:
        if line is None:
            unreadable += 1
        elif line.flow == flow:
            own.append(line)
        elif line.topic in _BELIEFS and not line.flow:
            beliefs.append(line)
    own.sort(key=lambda line: line.asctime)
    return Story(flow, tuple(own), _before(own, beliefs), unreadable)


def _before(
    own: Sequence[LogLine], beliefs: list[LogLine]
) -> tuple[LogLine, ...]:
    """Return the last changes of belief at the processes of the flow."""
    if not own:
        return ()
    nodes = {line.node for line in own}
    services = {line.service for line in own if line.service}
    found = [
        line
        for line in beliefs
        if line.asctime <= own[-1].asctime
        and (line.node in nodes or line.service in services)
    ]
    found.sort(key=lambda line: line.asctime)
    return tuple(found[-BELIEFS_SHOWN:])


def text(story: Story) -> str:
    """Return the story for a terminal."""
    parts = [story.sentence, *(f"  {line.text}" for line in story.lines)]
    if story.beliefs:
        parts.append("what was believed before that:")
        parts += [f"  {line.text}" for line in story.beliefs]
    return "\n".join(parts)
