"""Changes lost, applied twice or misreported by concurrent operators."""

import collections
from collections.abc import Iterator
import functools
import random

import msgspec

from medlar_core.config.model import Configuration
from medlar_core.config.outcome import Accepted
from medlar_core.config.outcome import Outcome
from medlar_core.config.outcome import Rejected
from medlar_core.config.outcome import Unknown
from medlar_core.config.records import ChangeRecord
from medlar_core.config.records import Head
from medlar_core.config.records import HEAD_KEY
from medlar_core.config.records import HISTORY_PREFIX
from medlar_core.config.records import HistoryPage
from medlar_core.config.records import root_key
from medlar_core.config.records import RootRecord
from medlar_core.config.records import shard_key
from medlar_core.config.shards import Shard
from medlar_core.ids import ChangeId

from ..rows import Row
from ..rows import Sense
from ..rows import Size
from .documents import document
from .fleet import Fleet
from .last_write import LastWrite

SERVICES = 8
ROUNDS = {Size.FAST: 15, Size.FULL: 100}
OPERATORS = 4
LOST_ANSWER_SHARE = 0.3
OUTAGE_SHARE = 0.3
OUTAGE_S = 20.0
MAX_ATTEMPTS = 20


class PlannedChange(msgspec.Struct, frozen=True):
    """Change of one operator: a value of slots that no other change uses."""

    change: ChangeId
    service: int
    slots: int
    base: int
    cfg: Configuration


class Tally(msgspec.Struct):
    """Number of faults by kind and of outcomes by kind."""

    lost: int = 0
    doubled: int = 0
    misreported: int = 0
    outcomes: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    @property
    def faults(self) -> int:
        """Return the number of faults of all kinds."""
        return self.lost + self.doubled + self.misreported


def measure(size: Size, seed: int) -> list[Row]:
    """Count faults of the writer and of the last-write-wins baseline."""
    tally = run(seed, ROUNDS[size])
    baseline = LastWrite(seed, SERVICES, LOST_ANSWER_SHARE).run(
        ROUNDS[size], OPERATORS
    )
    kinds = ", ".join(f"{n} {k}" for k, n in sorted(tally.outcomes.items()))
    return [
        Row(
            "config.lost_or_doubled",
            tally.faults,
            "changes",
            0,
            Sense.MAX,
            seed,
            baseline,
            "last write wins",
            f"{kinds}; lost {tally.lost}, doubled {tally.doubled},"
            f" falsely reported {tally.misreported}",
        )
    ]


def run(seed: int, rounds: int) -> Tally:
    """Run rounds of concurrent changes and compare outcomes and store."""
    fleet = Fleet(3, 7, seed)
    fleet.store.lose_answers = LOST_ANSWER_SHARE
    rng = random.Random(seed)
    first = PlannedChange(ChangeId("first"), 0, 0, 0, document(SERVICES))
    planned = [first]
    _apply_all(fleet, [first])
    for number in range(rounds):
        concurrent = list(_plan_round(fleet, rng, number))
        if rng.random() < OUTAGE_SHARE:
            _outage(fleet, rng)
        _apply_all(fleet, concurrent)
        planned += concurrent
    return _tally(fleet, planned)


def _plan_round(
    fleet: Fleet, rng: random.Random, number: int
) -> Iterator[PlannedChange]:
    """Yield the changes of a round, all based on the same version."""
    base = _head(fleet)
    cfg = _document_at(fleet, base.root)
    for i in range(OPERATORS):
        service = rng.randrange(SERVICES)
        slots = 100 + number * OPERATORS + i
        change = ChangeId(f"change-{number}-{i}")
        changed = with_slots(cfg, service, slots)
        yield PlannedChange(change, service, slots, base.version, changed)


def with_slots(cfg: Configuration, at: int, slots: int) -> Configuration:
    """Return a document with ``slots`` set for service number ``at``."""
    services = list(cfg.services)
    services[at] = msgspec.structs.replace(services[at], slots=slots)
    return msgspec.structs.replace(cfg, services=tuple(services))


def _outage(fleet: Fleet, rng: random.Random) -> None:
    start = fleet.clock.now + rng.random() * 0.1

    def switch(down: bool) -> None:
        fleet.store.down = down

    fleet.clock.at(start, lambda: switch(True))
    fleet.clock.at(start + OUTAGE_S, lambda: switch(False))


def _apply_all(fleet: Fleet, planned: list[PlannedChange]) -> None:
    """Apply changes concurrently; retry those with an unknown outcome."""
    pending = planned
    for _ in range(MAX_ATTEMPTS):
        for plan in pending:
            fleet.outcomes.pop(plan.change, None)
            fleet.apply(plan.change, plan.cfg, plan.base, limit_s=8.0)
        ids = [plan.change for plan in pending]
        fleet.settle(functools.partial(_all_known, fleet, ids), 30.0, 0.1)
        pending = [w for w in pending if _is_unknown(fleet, w.change)]
        if not pending:
            return


def _all_known(fleet: Fleet, ids: list[ChangeId]) -> bool:
    return all(change in fleet.outcomes for change in ids)


def _is_unknown(fleet: Fleet, change: ChangeId) -> bool:
    return isinstance(fleet.outcomes.get(change), Unknown | None)


def _tally(fleet: Fleet, planned: list[PlannedChange]) -> Tally:
    """Compare the outcomes reported to operators with the store."""
    tally = Tally()
    records = _records(fleet)
    times = collections.Counter(record.change for record in records)
    tally.doubled = sum(n - 1 for n in times.values())
    at = {record.change: record for record in records}
    for plan in planned:
        outcome = fleet.outcomes.get(plan.change)
        name = type(outcome).__name__.lower()
        tally.outcomes[name] += 1
        tally.misreported += _misreported(outcome, at.get(plan.change))
    tally.lost = _lost(fleet, records, {w.change: w for w in planned})
    return tally


def _misreported(outcome: Outcome | None, record: ChangeRecord | None) -> bool:
    match outcome:
        case Accepted(version=version):
            return record is None or record.version != version
        case Rejected():
            return record is not None
    return True


def _lost(
    fleet: Fleet,
    records: list[ChangeRecord],
    planned: dict[ChangeId, PlannedChange],
) -> int:
    """Count versions that lack a change accepted no later than them."""
    lost = 0
    expected: dict[int, int] = {}
    for record in records:
        plan = planned[record.change]
        if plan.slots:
            expected[plan.service] = plan.slots
        services = _document_at(fleet, record.root).services
        lost += any(
            services[at].slots != slots for at, slots in expected.items()
        )
    return lost


def _records(fleet: Fleet) -> list[ChangeRecord]:
    items = fleet.store.items
    records: list[ChangeRecord] = []
    for key in sorted(items):
        if key.startswith(HISTORY_PREFIX):
            page = msgspec.json.decode(items[key].value, type=HistoryPage)
            records += page.changes
    head = _head(fleet)
    oldest = head.recent[0].version
    kept = [record for record in records if record.version < oldest]
    return [*kept, *head.recent]


def _head(fleet: Fleet) -> Head:
    return msgspec.json.decode(fleet.store.items[HEAD_KEY].value, type=Head)


def _document_at(fleet: Fleet, root: str) -> Configuration:
    items = fleet.store.items
    record = msgspec.json.decode(items[root_key(root)].value, type=RootRecord)
    shards = [
        msgspec.json.decode(items[shard_key(named)].value, type=Shard)
        for named in record.shards
        if shard_key(named) in items
    ]
    services = [svc for shard in shards for svc in shard.services]
    return Configuration(
        places=tuple(place for shard in shards for place in shard.places),
        services=tuple(sorted(services, key=lambda svc: svc.name)),
    )
