"""Checks that the system's guarantees held during a run of a world.

Each check returns one line per violation.
"""

import collections
from collections.abc import Iterable
import math

from medlar_core.config.outcome import Accepted
from medlar_core.config.outcome import Rejected
from medlar_core.config.outcome import Unknown
from medlar_core.config.records import Head
from medlar_core.config.records import HEAD_KEY
from medlar_core.config.records import read_head
from medlar_core.ids import NodeId
from medlar_core.ids import Version
from medlar_core.verdict import NotRun
from medlar_core.verdict import Ran

from .processes import Process
from .work import digest
from .work import GRACE_S
from .work import SentRequest
from .work import StartedWork
from .world import World

DRAIN_GRACE_S = 3.0
ROLLOUT_LIMIT_S = 10.0


def broken_feeds(
    world: World, excluded_servers: Iterable[Process] = ()
) -> list[str]:
    """Flows that broke, except those on the excluded servers."""
    dead = {process.node for process in excluded_servers}
    return [
        f"{feed.name} on {feed.server}, opened at {feed.opened_at:.1f}"
        for feed in world.feeds.broken()
        if feed.server not in dead
    ]


def unanswered_feeds(world: World) -> list[str]:
    """Flows that no server ever answered."""
    return [
        feed.name for feed in world.feeds.feeds.values() if feed.answered < 0
    ]


def misrouted_packets(world: World) -> list[str]:
    """Packets delivered to a server of a service other than their own."""
    return [
        f"{found.packet.caller} to {found.packet.address} at {found.server}"
        for found in world.feeds.misrouted
    ]


def new_work_on_draining(world: World) -> list[str]:
    """Flows and requests started on a server after it began to drain.

    Those started within DRAIN_GRACE_S are allowed.
    """
    left = {
        p.node: p.drained_at + DRAIN_GRACE_S
        for p in world.processes
        if p.service is not None and p.drained_at is not None
    }
    flows = [
        f"flow {d.packet.caller} on {d.server} at {d.at:.1f}"
        for d in world.feeds.opened
        if d.at > left.get(d.server, float("inf"))
    ]
    return flows + [
        f"request {s.asked.req} on {s.server} at {s.at:.1f}"
        for s in world.work.started
        if s.at > left.get(s.server, float("inf"))
    ]


def unanswered(world: World) -> list[str]:
    """Requests past their deadline and GRACE_S without a verdict."""
    now = world.clock.now
    return [
        f"{asked.req} of {asked.kind.name}, sent at {asked.at:.1f}"
        for asked in world.work.asked.values()
        if asked.verdict is None
        and now > asked.at + asked.kind.deadline_s + GRACE_S
    ]


def doubled(world: World) -> list[str]:
    """Requests that are not idempotent and ran more than once."""
    runs: collections.Counter[str] = collections.Counter()
    for started in world.work.started:
        if not started.asked.kind.idempotent:
            runs[_key_or_id(started.asked)] += 1
    return [f"{key} ran {n} times" for key, n in runs.items() if n > 1]


def false_not_run(world: World) -> list[str]:
    """Requests with the verdict "not run" that did run, then or later.

    The verdict on a retry covers its idempotency key: it is false if the
    key ran for any request sent before the verdict. Retries sent after
    the verdict may run it.
    """
    ran: dict[str, list[StartedWork]] = collections.defaultdict(list)
    for started in world.work.started:
        ran[_key_or_id(started.asked)].append(started)
    return [
        f"{asked.req}: {asked.verdict.reason.value}, "
        f"ran as {started.asked.req} on {started.server}"
        for asked in world.work.asked.values()
        if isinstance(asked.verdict, NotRun) and asked.ended_at is not None
        for started in ran[_key_or_id(asked)]
        if started.asked.at <= asked.ended_at
    ]


def _key_or_id(asked: SentRequest) -> str:
    return asked.key or asked.req


def mismatched_answers(world: World) -> list[str]:
    """Requests whose response is incomplete or belongs to another request."""
    return [
        f"{asked.req} got {asked.verdict.body_digest}"
        for asked in world.work.asked.values()
        if isinstance(asked.verdict, Ran)
        and asked.verdict.body_digest != digest(asked)
    ]


def interrupted_requests(world: World) -> list[str]:
    """Requests that a planned stop of their balancer interrupted."""
    planned = {
        p.node for p in world.processes if p.drained_at and not p.killed
    }
    return [
        f"{asked.req} at {asked.balancer}"
        for asked in world.work.asked.values()
        if asked.cut and asked.balancer in planned
    ]


def reverted(world: World) -> list[str]:
    """Processes that reverted to an older configuration version."""
    found = []
    for process in world.processes:
        seen = [entry.version for entry in process.versions]
        if seen != sorted(seen):
            found.append(f"{process.node} had {seen}")
    return found


def late_versions(world: World) -> list[str]:
    """Live processes without an accepted version after ROLLOUT_LIMIT_S."""
    found = []
    for applied in world.operators.applied:
        if applied.version is None or applied.ended_at is None:
            continue
        due = applied.ended_at + ROLLOUT_LIMIT_S
        if world.clock.now < due:
            continue
        found += [
            f"{process.node}: version {applied.version} not by {due:.1f}"
            for process in world.processes
            if process.lives
            and process.started_at <= applied.ended_at
            and not _had(process, applied.version, due)
        ]
    return found


def outdated_processes(world: World) -> list[str]:
    """Live processes without the newest version that was accepted."""
    accepted = [a.version or Version(0) for a in world.operators.applied]
    newest = max(accepted, default=Version(0))
    return [
        f"{process.node} has version {process.version} of {newest}"
        for process in world.processes
        if process.lives and process.version < newest
    ]


def false_outcomes(world: World) -> list[str]:
    """Changes whose reported outcome contradicts the store, or is missing."""
    head = read_head(world.store.items[HEAD_KEY].value)
    assert isinstance(head, Head)
    held = collections.Counter(record.change for record in head.recent)
    found = []
    for applied in world.operators.applied:
        count = held[applied.change]
        match applied.outcome:
            case None:
                found.append(f"{applied.change} never got an outcome")
            case Accepted(unchanged=False) if count != 1:
                found.append(f"{applied.change} accepted, held {count} times")
            case Rejected() if count:
                found.append(f"{applied.change} rejected, but held")
            case Unknown() if count > 1:
                found.append(f"{applied.change} applied {count} times")
    return found


def serving_servers_removed(world: World) -> list[str]:
    """Serving servers that stopped being ready in the view of a process."""
    return [
        f"{removed.server} by {process.node} at {removed.at:.1f}"
        for process in world.processes
        for removed in process.removed
        if _serves_at(world, removed.server, removed.at)
    ]


def dead_servers_in_views(world: World) -> list[str]:
    """Dead servers that are still in the view of a live balancer."""
    live = {p.node for p in world.processes if p.lives}
    return [
        f"{server.id} by {process.node}"
        for process in world.live(None)
        if process.view is not None
        for server in process.view.servers
        if server.id not in live
    ]


def _serves_at(world: World, server: NodeId, at: float) -> bool:
    ends = [
        min(p.drained_at or math.inf, p.ended_at or math.inf)
        for p in world.processes
        if p.node == server and p.started_at <= at
    ]
    return bool(ends) and at < ends[-1]


def _had(process: Process, version: Version, due: float) -> bool:
    """Return whether a version, or a newer one, was in force in time."""
    return any(
        entry.version >= version and entry.at <= due
        for entry in process.versions
    )


def ran_share(asked: Iterable[SentRequest]) -> float:
    """Return the share of requests answered within their deadline."""
    all_asked = list(asked)
    whole = sum(
        isinstance(a.verdict, Ran)
        and a.ended_at is not None
        and a.ended_at - a.at <= a.kind.deadline_s
        for a in all_asked
    )
    return whole / len(all_asked) if all_asked else 1.0
