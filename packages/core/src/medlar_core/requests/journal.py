"""Refused and uncertain requests on the timeline, rate limited."""

from ..effects import Record
from ..ids import ServiceName
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from ..verdict import Reason
from .events import AttemptCame
from .events import RequestCame

MIN_INTERVAL_S = 1.0
"""Minimum time between entries of the same kind and reason."""

ALWAYS_RECORDED = (
    Reason.SERVER_DIED,
    Reason.CONNECTION_LOST,
    Reason.KEY_IN_DOUBT,
)
"""Reasons after which a request may have run; all are recorded."""


class Journal:
    """Collects timeline events; repeated ones are rate limited."""

    def __init__(self, service: ServiceName | None = None) -> None:
        self._service = service or ""
        self._recorded_at: dict[tuple[str, Reason], float] = {}
        self._pending: list[Record] = []

    def note(
        self,
        now: float,
        about: AttemptCame | RequestCame | None,
        reason: Reason,
    ) -> None:
        """Record why a request was not run or may have run."""
        kind = about.kind if about is not None else ""
        recent = (
            now - self._recorded_at.get((kind, reason), -MIN_INTERVAL_S)
            < MIN_INTERVAL_S
        )
        if recent and reason not in ALWAYS_RECORDED:
            return
        self._recorded_at[(kind, reason)] = now
        may_have_run = reason in ALWAYS_RECORDED
        event = TimelineEvent(
            topic=Topic.VERDICT if may_have_run else Topic.ADMISSION,
            text="requests: no sure answer"
            if may_have_run
            else "requests: refused",
            service=about.service if about is not None else self._service,
            request=about.req if about is not None else "",
            kind=kind,
            reason=reason.value,
        )
        self._pending.append(Record(event))

    def take(self) -> list[Record]:
        """Return the records since the last call."""
        pending, self._pending = self._pending, []
        return pending
