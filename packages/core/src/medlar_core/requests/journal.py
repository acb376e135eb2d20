"""Refusals and doubts on the time line, at a bounded rate."""

from ..effects import Record
from ..ids import ServiceName
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from ..verdict import Reason
from .events import AttemptCame
from .events import RequestCame

QUIET_S = 1.0
"""Time between two entries of the same kind and reason, in seconds."""

RARE = (Reason.SERVER_DIED, Reason.CONNECTION_LOST, Reason.KEY_IN_DOUBT)
"""Reasons after which a request may have run: each one is told."""


class Journal:
    """Gathers events for the time line; a flood of one is told once."""

    def __init__(self, service: ServiceName | None = None) -> None:
        self._service = service or ""
        self._told: dict[tuple[str, Reason], float] = {}
        self._pending: list[Record] = []

    def note(
        self,
        now: float,
        about: AttemptCame | RequestCame | None,
        reason: Reason,
    ) -> None:
        """Note why a request was not run or may have run."""
        kind = about.kind if about is not None else ""
        quiet = now - self._told.get((kind, reason), -QUIET_S) < QUIET_S
        if quiet and reason not in RARE:
            return
        self._told[(kind, reason)] = now
        rare = reason in RARE
        event = TimelineEvent(
            topic=Topic.VERDICT if rare else Topic.ADMISSION,
            text="requests: no sure answer" if rare else "requests: refused",
            service=about.service if about is not None else self._service,
            request=about.req if about is not None else "",
            kind=kind,
            reason=reason.value,
        )
        self._pending.append(Record(event))

    def take(self) -> list[Record]:
        """Return what was noted since the last call."""
        pending, self._pending = self._pending, []
        return pending
