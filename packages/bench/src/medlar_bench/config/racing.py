"""Whether racing operators lose, double or misreport a change."""

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
LOSE_ANSWERS = 0.3
OUTAGE_SHARE = 0.3
OUTAGE_S = 20.0
ASK_TIMES = 20


class Wish(msgspec.Struct, frozen=True):
    """What one operator wants: a service's slots, unlike all others'."""

    change: ChangeId
    service: int
    slots: int
    base: int
    cfg: Configuration


class Tally(msgspec.Struct):
    """Faults found, and how many outcomes of each kind there were."""

    lost: int = 0
    doubled: int = 0
    false: int = 0
    outcomes: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )

    @property
    def faults(self) -> int:
        """Return all faults."""
        return self.lost + self.doubled + self.false


def measure(size: Size, seed: int) -> list[Row]:
    """Return faults of the writer, and of last write wins."""
    tally = run(seed, ROUNDS[size])
    baseline = LastWrite(seed, SERVICES, LOSE_ANSWERS).run(
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
            f" falsely reported {tally.false}",
        )
    ]


def run(seed: int, rounds: int) -> Tally:
    """Let operators race for some rounds and compare with the store."""
    fleet = Fleet(3, 7, seed)
    fleet.store.lose_answers = LOSE_ANSWERS
    rng = random.Random(seed)
    first = Wish(ChangeId("first"), 0, 0, 0, document(SERVICES))
    wishes = [first]
    _finish(fleet, [first])
    for number in range(rounds):
        racing = list(_wishes(fleet, rng, number))
        if rng.random() < OUTAGE_SHARE:
            _outage(fleet, rng)
        _finish(fleet, racing)
        wishes += racing
    return _judge(fleet, wishes)


def _wishes(fleet: Fleet, rng: random.Random, number: int) -> Iterator[Wish]:
    """Yield changes that all start from the same accepted version."""
    base = _head(fleet)
    cfg = _document_at(fleet, base.root)
    for i in range(OPERATORS):
        service = rng.randrange(SERVICES)
        slots = 100 + number * OPERATORS + i
        change = ChangeId(f"change-{number}-{i}")
        mine = with_slots(cfg, service, slots)
        yield Wish(change, service, slots, base.version, mine)


def with_slots(cfg: Configuration, at: int, slots: int) -> Configuration:
    """Return a document with other slots for one service."""
    services = list(cfg.services)
    services[at] = msgspec.structs.replace(services[at], slots=slots)
    return msgspec.structs.replace(cfg, services=tuple(services))


def _outage(fleet: Fleet, rng: random.Random) -> None:
    start = fleet.clock.now + rng.random() * 0.1

    def switch(down: bool) -> None:
        fleet.store.down = down

    fleet.clock.at(start, lambda: switch(True))
    fleet.clock.at(start + OUTAGE_S, lambda: switch(False))


def _finish(fleet: Fleet, wishes: list[Wish]) -> None:
    """Apply changes at once; ask on where the outcome is unknown."""
    asked = wishes
    for _ in range(ASK_TIMES):
        for wish in asked:
            fleet.outcomes.pop(wish.change, None)
            fleet.apply(wish.change, wish.cfg, wish.base, limit_s=8.0)
        ids = [wish.change for wish in asked]
        fleet.settle(functools.partial(_all_known, fleet, ids), 30.0, 0.1)
        asked = [w for w in asked if _is_unknown(fleet, w.change)]
        if not asked:
            return


def _all_known(fleet: Fleet, ids: list[ChangeId]) -> bool:
    return all(change in fleet.outcomes for change in ids)


def _is_unknown(fleet: Fleet, change: ChangeId) -> bool:
    return isinstance(fleet.outcomes.get(change), Unknown | None)


def _judge(fleet: Fleet, wishes: list[Wish]) -> Tally:
    """Compare what operators were told with what the store holds."""
    tally = Tally()
    records = _records(fleet)
    times = collections.Counter(record.change for record in records)
    tally.doubled = sum(n - 1 for n in times.values())
    at = {record.change: record for record in records}
    for wish in wishes:
        outcome = fleet.outcomes.get(wish.change)
        name = type(outcome).__name__.lower()
        tally.outcomes[name] += 1
        tally.false += _misreported(outcome, at.get(wish.change))
    tally.lost = _lost(fleet, records, {w.change: w for w in wishes})
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
    wishes: dict[ChangeId, Wish],
) -> int:
    """Count versions that lack a change accepted up to them."""
    lost = 0
    expected: dict[int, int] = {}
    for record in records:
        wish = wishes[record.change]
        if wish.slots:
            expected[wish.service] = wish.slots
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
