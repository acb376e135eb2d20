"""Time line events of membership."""

from ..effects import Record as Explain
from ..timeline.events import TimelineEvent
from ..timeline.events import Topic
from .record import Record
from .record import Role


def explain(text: str, reason: str, record: Record | None = None) -> Explain:
    """Return the time line event of a membership decision."""
    event = TimelineEvent(
        Topic.MEMBERSHIP,
        text,
        service=record.service if record else "",
        server=record.id if record else "",
        reason=reason,
    )
    return Explain(event)


def changed(held: Record | None, record: Record) -> list[Explain]:
    """Return the event of a server's change of state, if it changed."""
    if record.role is not Role.SERVER:
        return []
    if held is None and not record.live:
        return []
    if held is not None and held.state is record.state:
        return []
    return [
        explain(
            f"Server state changed to {record.state.value}.", "told", record
        )
    ]
